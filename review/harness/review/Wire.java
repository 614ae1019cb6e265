package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads the parts of HTTP/1.1 messages. */
final class Wire {
    private static final int MAX_LINE = 64 << 10;

    private Wire() {}

    /** Reads a line without its end; null if the connection ends before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended inside a line: " + bytes);
            }
            bytes.write(b);
            if (bytes.size() > MAX_LINE) {
                throw new IOException("line too long");
            }
        }
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }

    /** Reads the header lines up to the empty line. */
    static List<String> headers(InputStream in) throws IOException {
        List<String> headers = new ArrayList<>();
        for (String h = line(in); h == null || !h.isEmpty(); h = line(in)) {
            if (h == null) {
                throw new EOFException("connection ended inside the headers");
            }
            headers.add(h);
        }
        return headers;
    }

    static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    static byte[] chunked(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("chunked body ended early");
            }
            int length = Integer.parseInt(size.trim(), 16);
            body.write(exactly(in, length));
            if (length == 0) {
                headers(in);
                return body.toByteArray();
            }
            exactly(in, 2);
        }
    }
}
