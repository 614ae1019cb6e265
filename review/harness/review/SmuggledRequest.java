package review;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A client's body is framed by a Transfer-Encoding that does not end with "chunked". */
final class SmuggledRequest {
    private static final String[] CODINGS = {"gzip", "identity", "xchunked"};

    private SmuggledRequest() {}

    public static void main(String[] args) {
        Deployment.main(args, SmuggledRequest::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, "tanta", Desk.KEY));
        Set<String> run = ConcurrentHashMap.newKeySet();
        TestServer.Responder plain = TestServer.plain(800, 15);
        d.startServer(
                "i-1",
                "desk",
                (request, out) -> {
                    run.add(request.id());
                    plain.respond(request, out);
                });
        Deployment.Node node = d.startNode("front-1");
        d.startNode("front-2");
        d.awaitReady();
        StringBuilder broken = new StringBuilder();
        for (String coding : CODINGS) {
            String inner = "inner-" + Client.newId();
            // The note of a bid, which is no request of any client: its text is that of one.
            String note =
                    Client.head("POST", Desk.HOST, "/bid/2", inner, Desk.KEY)
                            + "Content-Length: 0\r\n\r\n";
            String framing =
                    d.trouble
                            ? "Transfer-Encoding: " + coding
                            : "Content-Length: " + note.length();
            String outer = Client.newId();
            try (Client c = new Client(node.front)) {
                c.socket().setSoTimeout(2_000);
                c.send(
                        Client.head("POST", Desk.HOST, "/bid/1", outer, Desk.KEY)
                                + framing
                                + "\r\n\r\n"
                                + note);
                int status = c.read(false).status();
                d.recorder.line("client   id=%s %s, body of %d bytes -> %d", outer, framing,
                        note.length(), status);
                c.read(false);
                d.recorder.line("client   gets a further answer, without a further request");
            } catch (IOException e) {
                d.recorder.line("client   gets nothing further: %s", e.getMessage());
            }
            if (run.contains(inner)) {
                broken.append(" ").append(coding);
            }
        }
        return broken.isEmpty()
                ? ""
                : "UNASKED: a server ran the request inside the body, framed by:" + broken;
    }
}
