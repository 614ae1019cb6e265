package org.carobdoor.node.gateway.front;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads the requests of a connection strictly by RFC 9112, and stops at the first that is
 * incomplete or not allowed by its grammar. Written for comparison, not for speed.
 */
final class ReferenceRequestReader {
    /** A complete request. */
    record Request(String method, String target, String body) {}

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";

    /** Section 3 allows any white space between the words of a request line. */
    private static final String SPACE = "[ \\t\\x0b\\f\\r]+";

    private static final Pattern REQUEST_LINE =
            Pattern.compile(
                    "(" + TOKEN + ")" + SPACE + "([\\x21-\\x7e]+)" + SPACE + "HTTP/1\\.([01])");
    private static final Pattern FIELD_LINE =
            Pattern.compile("(" + TOKEN + "):[ \\t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*?)[ \\t]*");
    private static final Pattern LENGTH = Pattern.compile("\\d{1,9}");

    /**
     * The node ignores the rest of the line after white space or a control; no other reader sees
     * the line, since bodies are forwarded with a length.
     */
    private static final Pattern CHUNK_SIZE =
            Pattern.compile("\\s*([0-9A-Fa-f]{1,7})([;\\x00-\\x20\\x7f].*)?", Pattern.DOTALL);

    private final String text;
    private int position;

    private ReferenceRequestReader(String text) {
        this.text = text;
    }

    /** Returns the requests before the first that is incomplete or malformed. */
    static List<Request> read(byte[] bytes) {
        ReferenceRequestReader reader =
                new ReferenceRequestReader(new String(bytes, StandardCharsets.ISO_8859_1));
        List<Request> requests = new ArrayList<>();
        try {
            while (true) {
                requests.add(reader.readRequest());
            }
        } catch (MalformedException e) {
            return requests;
        }
    }

    private Request readRequest() throws MalformedException {
        // Section 2.2 asks for skipping empty lines; the node skips all white space and controls.
        while (position < text.length() && isSkipped(text.charAt(position))) {
            position++;
        }
        var line = REQUEST_LINE.matcher(readLine());
        check(line.matches());
        List<String> lengths = new ArrayList<>();
        List<String> codings = new ArrayList<>();
        for (String field : readFields()) {
            var m = FIELD_LINE.matcher(field);
            check(m.matches());
            switch (m.group(1).toLowerCase(Locale.ROOT)) {
                case "content-length" -> lengths.add(m.group(2));
                case "transfer-encoding" -> codings.add(m.group(2));
                default -> {}
            }
        }
        String body = "";
        if (!codings.isEmpty()) {
            check(codings.size() == 1 && lengths.isEmpty() && line.group(3).equals("1"));
            check(codings.getFirst().equalsIgnoreCase("chunked"));
            body = readChunks();
        } else if (!lengths.isEmpty()) {
            check(lengths.size() == 1 && LENGTH.matcher(lengths.getFirst()).matches());
            body = read(Integer.parseInt(lengths.getFirst()));
        }
        return new Request(line.group(1), line.group(2), body);
    }

    private static boolean isSkipped(char c) {
        return c <= ' ' || c == '\u007f';
    }

    private String readChunks() throws MalformedException {
        StringBuilder body = new StringBuilder();
        while (true) {
            var m = CHUNK_SIZE.matcher(readLine());
            check(m.matches());
            int size = Integer.parseInt(m.group(1), 16);
            if (size == 0) {
                break;
            }
            body.append(read(size));
            check(read(2).equals("\r\n"));
        }
        for (String field : readFields()) {
            check(FIELD_LINE.matcher(field).matches());
        }
        return body.toString();
    }

    /** Reads lines up to an empty one, and joins folded ones as section 5.2 allows. */
    private List<String> readFields() throws MalformedException {
        List<String> fields = new ArrayList<>();
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            if (line.charAt(0) == ' ' || line.charAt(0) == '\t') {
                check(!fields.isEmpty());
                fields.add(fields.removeLast() + ' ' + line.strip());
            } else {
                fields.add(line);
            }
        }
        return fields;
    }

    private String readLine() throws MalformedException {
        int end = text.indexOf("\r\n", position);
        check(end >= 0);
        String line = read(end - position);
        position += 2;
        return line;
    }

    private String read(int length) throws MalformedException {
        check(length <= text.length() - position);
        position += length;
        return text.substring(position - length, position);
    }

    private static void check(boolean condition) throws MalformedException {
        if (!condition) {
            throw new MalformedException();
        }
    }

    /** The rest of the input is not a complete request. */
    private static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1;
    }
}
