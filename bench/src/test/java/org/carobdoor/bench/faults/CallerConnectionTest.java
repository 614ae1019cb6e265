package org.carobdoor.bench.faults;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ProtocolException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a soak that takes broken responses for whole ones. */
final class CallerConnectionTest {
    private static final int TIMEOUT_MILLIS = 5_000;

    @Test
    void readsResponsesWithALengthAndInChunks() throws IOException {
        try (CallerConnection c =
                connect(
                        "HTTP/1.1 200 OK\r\nx-attempt-id: a\r\nX-Server-Stamp: s\r\n"
                                + "Content-Length: 2\r\n\r\nab"
                                + "HTTP/1.1 500 Oh\r\nTransfer-Encoding: chunked\r\n"
                                + "Connection: close\r\n\r\n2\r\ncd\r\n1\r\ne\r\n0\r\n\r\n")) {
            assertThat(c.read()).isEqualTo(new CallerAnswer(200, "a", "s", "ab"));
            assertThat(c.isOpen()).isTrue();
            assertThat(c.read()).isEqualTo(new CallerAnswer(500, "", "", "cde"));
            assertThat(c.isOpen()).isFalse();
        }
    }

    @Test
    void secondResponseIsSeenAsUnreadBytes() throws IOException {
        String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        try (CallerConnection c = connect(response + response)) {
            c.read();
            assertThat(c.hasUnreadBytes()).isTrue();
            assertThat(c.describeUnread()).startsWith("HTTP/1.1 200 OK");
            assertThat(c.hasUnreadBytes()).isFalse();
        }
    }

    @Test
    void truncatedBodyIsNoResponse() throws IOException {
        try (CallerConnection c = connect("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab")) {
            assertThrows(EOFException.class, c::read);
        }
    }

    @Test
    void otherBytesAreNoResponse() throws IOException {
        try (CallerConnection c = connect("{\"status\":401}\r\n\r\n")) {
            assertThrows(ProtocolException.class, c::read);
        }
    }

    /** Connects to a peer that writes {@code text} and closes the connection. */
    private static CallerConnection connect(String text) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            CallerConnection c = CallerConnection.open(server.getLocalPort(), TIMEOUT_MILLIS);
            try (Socket peer = server.accept()) {
                peer.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            }
            return c;
        }
    }
}
