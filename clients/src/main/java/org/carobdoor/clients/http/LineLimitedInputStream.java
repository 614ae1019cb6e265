package org.carobdoor.clients.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/** Fails when the bytes since the last line feed exceed a limit. Not thread-safe. */
final class LineLimitedInputStream extends FilterInputStream {
    private final long maxLineBytes;
    private long lineBytes;

    LineLimitedInputStream(InputStream in, long maxLineBytes) {
        super(in);
        this.maxLineBytes = maxLineBytes;
    }

    @Override
    public int read() throws IOException {
        int b = super.read();
        if (b >= 0) {
            lineBytes = b == '\n' ? 0 : lineBytes + 1;
            check();
        }
        return b;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
        int n = super.read(bytes, offset, length);
        if (n > 0) {
            int afterLineFeed = offset + n;
            while (afterLineFeed > offset && bytes[afterLineFeed - 1] != '\n') {
                afterLineFeed--;
            }
            int tail = offset + n - afterLineFeed;
            lineBytes = afterLineFeed > offset ? tail : lineBytes + tail;
            check();
        }
        return n;
    }

    private void check() throws IOException {
        if (lineBytes > maxLineBytes) {
            throw new IOException("response has no line end within " + maxLineBytes + " B");
        }
    }
}
