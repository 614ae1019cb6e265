package review;

import java.io.IOException;
import java.io.InputStream;

/**
 * A node gets SIGTERM while a client, which pauses for some seconds, reads a large answer that the
 * server has given completely.
 */
final class SlowReaderStop {
    private static final int BODY_BYTES = 6_000_000;
    private static final int RECEIVE_BUFFER = 16 << 10;
    private static final long PAUSE_MS = 5_500;

    private SlowReaderStop() {}

    public static void main(String[] args) {
        Deployment.main(args, SlowReaderStop::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, "tanta", Desk.KEY));
        d.startServer("i-1", "desk", TestServer.plain(BODY_BYTES, 15));
        Deployment.Node node = d.startNode("front-1");
        d.startNode("front-2");
        d.awaitReady();
        Thread.sleep(2_000);
        try (Client c = new Client(node.front, RECEIVE_BUFFER)) {
            String id = Client.newId();
            c.send(Client.head("POST", Desk.HOST, "/bid/1", id, Desk.KEY)
                            + "Content-Length: 0\r\n\r\n");
            d.recorder.line("client   id=%s sent", id);
            InputStream in = c.in();
            String first = Wire.line(in);
            d.recorder.line("client   id=%s %s %s", id, first, Wire.headers(in));
            Thread.sleep(500);
            long stopped = d.recorder.millis();
            if (d.trouble) {
                node.process.destroy();
                d.recorder.line("trouble  SIGTERM to front-1");
            }
            Thread.sleep(PAUSE_MS);
            int read = 0;
            byte[] bytes = new byte[64 << 10];
            String end = "the body is complete";
            try {
                while (read < BODY_BYTES) {
                    int n = in.read(bytes, 0, Math.min(bytes.length, BODY_BYTES - read));
                    if (n < 0) {
                        end = "the connection is closed";
                        break;
                    }
                    read += n;
                }
            } catch (IOException e) {
                end = e.toString();
            }
            long after = d.recorder.millis() - stopped;
            d.recorder.line("client   id=%s has %d of %d bytes, %d ms after the stop: %s", id, read,
                    BODY_BYTES, after, end);
            return read == BODY_BYTES
                    ? ""
                    : "LOST: the answer ended after " + read + " of " + BODY_BYTES + " bytes, "
                            + after + " ms after the SIGTERM (graceS is 8,000 ms): " + end;
        }
    }
}
