package review;

import java.io.IOException;

/**
 * Open connections to the store go silent for good while new ones work. A key is taken away and
 * another added when the nodes are in touch again.
 */
final class SilentStore {
    private static final String OLD_KEY = "key-taken-away";
    private static final String NEW_KEY = "key-added";
    private static final int PROBES = 45;

    private SilentStore() {}

    public static void main(String[] args) {
        Deployment.main(args, SilentStore::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, "tanta", Desk.KEY, OLD_KEY));
        d.startServer("i-1", "desk", TestServer.plain(800, 15));
        try (Proxy proxy = new Proxy(d.store.address())) {
            d.storeAt(proxy.port());
            Deployment.Node[] nodes = {d.startNode("front-1"), d.startNode("front-2")};
            d.awaitReady();
            Thread.sleep(4_000);
            // An ordinary change. Afterwards each node waits for the next one.
            d.configure(Desk.configuration(2, "tanta", Desk.KEY, OLD_KEY));
            Thread.sleep(500);
            if (d.trouble) {
                proxy.silence();
                d.recorder.line("trouble  open connections to the store are silent from now on");
            }
            Thread.sleep(Deployment.CONTACT_MS + 300);
            d.configure(Desk.configuration(3, "tanta", Desk.KEY, NEW_KEY));
            d.recorder.line("operator version 3 is acknowledged");
            long acknowledged = d.recorder.millis();
            Thread.sleep(Deployment.CONFIG_APPLY_MS + 100);
            int ranWithDroppedKey = 0;
            int refusedNewKey = 0;
            int sound = 0;
            for (int i = 0; i < PROBES; i++) {
                for (Deployment.Node n : nodes) {
                    long after = d.recorder.millis() - acknowledged;
                    if (status(d, n, OLD_KEY, after) == 200) {
                        ranWithDroppedKey++;
                    }
                    if (status(d, n, NEW_KEY, after) == 401) {
                        refusedNewKey++;
                    }
                    if (status(d, n, Desk.KEY, after) == 200) {
                        sound++;
                    }
                }
                Thread.sleep(80);
            }
            if (sound < PROBES) {
                throw new IllegalStateException("the nodes do not serve: " + sound);
            }
            return ranWithDroppedKey + refusedNewKey == 0
                    ? ""
                    : "CONFIG: "
                            + ranWithDroppedKey
                            + " requests ran with a key that was dropped, and "
                            + refusedNewKey
                            + " got 401 with a key that was added, each sent more than 2,000 ms"
                            + " after the acknowledgement";
        }
    }

    private static int status(Deployment d, Deployment.Node n, String key, long after)
            throws IOException {
        String id = Client.newId();
        try (Client c = new Client(n.front)) {
            c.send(Client.head("POST", Desk.HOST, "/bid/1", id, key) + "Content-Length: 0\r\n\r\n");
            int status = c.read(false).status();
            d.recorder.line("client   id=%s %s key=%s sent %d ms after the acknowledgement -> %d",
                    id, n.name, key, after, status);
            return status;
        }
    }
}
