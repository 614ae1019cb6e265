package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients upload documents of 4,000,000 bytes (the limit is 4,194,304) and others read balances at
 * the same node. For some seconds 1.6 times as many clients upload.
 */
final class Uploads {
    private static final int UPLOADERS = 34;
    private static final double BURST = 1.6;
    private static final long BURST_MS = 8_000;
    private static final int READERS = 24;
    private static final int DOCUMENT_BYTES = 4_000_000;
    private static final long TIMEOUT_MS = 1_000;
    private static final long SERVER_WORK_MS = 5_000;

    private Uploads() {}

    public static void main(String[] args) {
        Deployment.main(args, Uploads::run);
    }

    private static String run(Deployment d) throws Exception {
        d.configure(Desk.configuration(1, TIMEOUT_MS, "tanta", Desk.KEY));
        for (int i = 1; i <= 2; i++) {
            d.startServer("d-" + i, "desk", TestServer.plain(800, 15));
        }
        for (int i = 1; i <= 8; i++) {
            d.startServer("a-" + i, "archive", TestServer.plain(800, SERVER_WORK_MS));
        }
        Deployment.Node node = d.startNode("front-1");
        d.startNode("front-2");
        d.awaitReady();
        Thread.sleep(2_000);
        String document = "d".repeat(DOCUMENT_BYTES);
        long end = d.recorder.millis() + 24_000;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < UPLOADERS; i++) {
            // The uploads arrive spread over some seconds, well below what the link carries.
            long delay = i * 100L;
            threads.add(
                    Thread.startVirtualThread(
                            () -> {
                                pause(delay);
                                upload(d, node, document, end);
                            }));
        }
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger late = new AtomicInteger();
        for (int i = 0; i < READERS; i++) {
            threads.add(Thread.startVirtualThread(
                    () -> readBalances(d, node, end, asked, answered, unanswered, late)));
        }
        Thread.sleep(6_000);
        if (d.trouble) {
            int more = (int) Math.round(UPLOADERS * (BURST - 1));
            d.recorder.line("trouble  %d more clients upload for %d ms", more, BURST_MS);
            long burstEnd = d.recorder.millis() + BURST_MS;
            for (int i = 0; i < more; i++) {
                long delay = i * 100L;
                threads.add(
                        Thread.startVirtualThread(
                                () -> {
                                    pause(delay);
                                    upload(d, node, document, burstEnd);
                                }));
            }
        }
        for (Thread t : threads) {
            t.join(60_000);
        }
        d.recorder.line("balance  %d asked, %d answered with 200, %d unanswered at %d ms, %d of them still"
                        + " half a second later",
                asked.get(), answered.get(), unanswered.get(), TIMEOUT_MS, late.get());
        if (answered.get() < 100) {
            throw new IllegalStateException("too few answers: " + answered.get());
        }
        return late.get() < 10 || late.get() * 2 <= unanswered.get()
                ? ""
                : "CONFIG: of "
                        + unanswered.get()
                        + " balance requests without an answer at the route's timeoutMs, "
                        + late.get()
                        + " had none half a second later";
    }

    /** Uploads until the end; a client never sends more often than when all uploads succeed. */
    private static void upload(Deployment d, Deployment.Node node, String document, long end) {
        while (d.recorder.millis() < end) {
            String id = Client.newId();
            try (Client c = new Client(node.front)) {
                c.send(
                        Client.head("POST", Desk.HOST, "/deed/1", id, Desk.KEY)
                                + "Content-Length: "
                                + DOCUMENT_BYTES
                                + "\r\n\r\n"
                                + document);
                int status = c.read(false).status();
                d.recorder.line("client   id=%s upload -> %d", id, status);
                if (status != 200) {
                    pause(SERVER_WORK_MS);
                }
            } catch (IOException e) {
                d.recorder.line("client   id=%s upload -> %s", id, e.getMessage());
                pause(SERVER_WORK_MS);
            }
        }
    }

    private static void readBalances(
            Deployment d,
            Deployment.Node node,
            long end,
            AtomicInteger asked,
            AtomicInteger answered,
            AtomicInteger unanswered,
            AtomicInteger late) {
        while (d.recorder.millis() < end) {
            String id = Client.newId();
            long sent = d.recorder.millis();
            String answer;
            try (Client c = new Client(node.front)) {
                c.socket().setSoTimeout(12_000);
                c.send(Client.head("GET", Desk.HOST, "/balance/1", id, Desk.KEY) + "\r\n");
                answer = String.valueOf(c.read(false).status());
            } catch (IOException e) {
                answer = e.getMessage();
            }
            long took = d.recorder.millis() - sent;
            asked.incrementAndGet();
            if (answer.equals("200")) {
                answered.incrementAndGet();
            }
            if (took > TIMEOUT_MS) {
                unanswered.incrementAndGet();
            }
            if (took > TIMEOUT_MS + 500) {
                late.incrementAndGet();
            }
            d.recorder.line("client   id=%s balance -> %s after %d ms", id, answer, took);
            pause(200);
        }
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
