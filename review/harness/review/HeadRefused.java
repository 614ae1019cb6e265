package review;

import java.io.IOException;

/**
 * An application keeps one connection for two keys of a tenant. One key is taken away; a HEAD
 * request with it is refused, and the next request on the connection uses the other key.
 */
final class HeadRefused {
    private static final String TAKEN_KEY = "key-taken-away";

    private HeadRefused() {}

    public static void main(String[] args) {
        Deployment.main(args, HeadRefused::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, "tanta", Desk.KEY, TAKEN_KEY));
        d.startServer("i-1", "desk", TestServer.plain(800, 15));
        Deployment.Node node = d.startNode("front-1");
        d.startNode("front-2");
        d.awaitReady();
        try (Client c = new Client(node.front)) {
            exchange(d, c, "GET", Desk.KEY);
            exchange(d, c, "HEAD", TAKEN_KEY);
            exchange(d, c, "GET", TAKEN_KEY);
            if (d.trouble) {
                d.configure(Desk.configuration(2, "tanta", Desk.KEY));
            }
            Thread.sleep(Deployment.CONFIG_APPLY_MS + 500);
            int head = exchange(d, c, "HEAD", TAKEN_KEY);
            if (head != (d.trouble ? 401 : 200)) {
                throw new IllegalStateException("HEAD got " + head);
            }
            try {
                exchange(d, c, "GET", Desk.KEY);
            } catch (Client.BadAnswer e) {
                d.recorder.line("client   gets no answer in the protocol: %s", e.getMessage());
                return "MIXED: bytes that are no answer where one is due: " + e.getMessage();
            }
            return "";
        }
    }

    private static int exchange(Deployment d, Client c, String method, String key)
            throws IOException {
        String id = Client.newId();
        c.send(Client.head(method, Desk.HOST, "/balance/1", id, key) + "\r\n");
        d.recorder.line("client   id=%s %s key=%s sent", id, method, key);
        Client.Answer a = c.read(method.equals("HEAD"));
        d.recorder.line("client   id=%s -> %d %s body of %d bytes", id, a.status(), a.headers(),
                a.body().length);
        return a.status();
    }
}
