package review;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The node that holds the duties is killed; the name of the tenant has a space. */
final class UsageName {
    private UsageName() {}

    public static void main(String[] args) {
        Deployment.main(args, UsageName::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, "El Sharkawy", Desk.KEY));
        d.startServer("i-1", "desk", TestServer.plain(800, 15));
        Map<String, Deployment.Node> nodes = new HashMap<>();
        for (String name : List.of("front-1", "front-2", "front-3")) {
            nodes.put(name, d.startNode(name));
        }
        d.awaitReady();
        boolean killed = false;
        long until = d.recorder.millis() + 45_000;
        while (d.recorder.millis() < until) {
            List<Cloud.Report> reports = d.cloud.reports();
            if (!killed && reports.size() >= 3) {
                killed = true;
                until = d.recorder.millis() + 15_000;
                String holder = reports.getLast().holder();
                if (d.trouble) {
                    nodes.remove(holder).process.destroyForcibly();
                    d.recorder.line("trouble  SIGKILL to %s, which holds the duties", holder);
                }
            }
            for (Deployment.Node n : nodes.values()) {
                try (Client c = new Client(n.front)) {
                    String id = Client.newId();
                    c.send(Client.head("GET", Desk.HOST, "/balance/1", id, Desk.KEY) + "\r\n");
                    d.recorder.line("client   id=%s -> %d", id, c.read(false).status());
                }
            }
            Thread.sleep(100);
        }
        if (!killed) {
            throw new IllegalStateException("no usage was reported");
        }
        Map<Long, Cloud.Report> first = new HashMap<>();
        StringBuilder broken = new StringBuilder();
        for (Cloud.Report r : d.cloud.reports()) {
            Cloud.Report f = first.putIfAbsent(r.window(), r);
            if (f != null && !f.counts().equals(r.counts())) {
                broken.append("; window ").append(r.window()).append(": ").append(f.counts())
                        .append(" by ").append(f.holder()).append(", then ").append(r.counts())
                        .append(" by ").append(r.holder());
            }
        }
        return broken.isEmpty() ? "" : "ONE: two reports for one window" + broken;
    }
}
