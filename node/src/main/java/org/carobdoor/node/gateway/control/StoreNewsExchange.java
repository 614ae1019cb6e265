package org.carobdoor.node.gateway.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.carobdoor.NodeId;
import org.carobdoor.internal.peers.StoreReaderPlan;
import org.carobdoor.internal.request.PollClock;
import org.carobdoor.internal.store.TransitDelays;
import org.carobdoor.message.PeerMessage;
import org.carobdoor.message.StoreNews;
import org.carobdoor.message.StoreNewsRequest;
import org.carobdoor.node.gateway.log.DecisionLog;
import org.carobdoor.wire.TcpPeerNetwork;

/**
 * Exchanges changes of the store with the other nodes of the zone, for all feeds of this node. Must
 * be used on the event loop.
 */
final class StoreNewsExchange {
    private static final long TICK_INTERVAL_MILLIS = 100;
    private static final int TICKS_PER_PLAN = 10;
    private static final long LOGGED_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final EventLoop loop;
    private final TcpPeerNetwork network;
    private final Function<Long, StoreReaderPlan> planner;
    private final PollClock polls;
    private final TransitDelays delays = TransitDelays.create(System.nanoTime());
    private final DecisionLog log;
    private final List<StoreFeed> feeds = new ArrayList<>();
    private int ticks;
    private boolean planned;
    private long newsMessages;
    private long newsItems;
    private long requests;

    /**
     * Creates an exchange without feeds.
     *
     * @param planner returns who watches the store, at a time in nanoseconds
     * @param polls the polls of {@code loop}
     */
    StoreNewsExchange(
            EventLoop loop,
            TcpPeerNetwork network,
            Function<Long, StoreReaderPlan> planner,
            PollClock polls,
            DecisionLog log) {
        this.polls = polls;
        this.loop = loop;
        this.network = network;
        this.planner = planner;
        this.log = log;
        network.handleNonBlocking(
                StoreNews.class,
                (from, news) -> {
                    long arrived = polls.earliestArrivalNanos(System.nanoTime());
                    loop.execute(() -> receive(from.value(), news, arrived));
                });
        network.handleNonBlocking(
                StoreNewsRequest.class, (from, r) -> loop.execute(() -> answer(from, r)));
    }

    void add(StoreFeed feed) {
        feeds.add(feed);
        feed.setSender(this::send);
    }

    void start() {
        GuardedTask.repeat(loop, "store news", this::tick, TICK_INTERVAL_MILLIS, log);
    }

    private void tick() {
        long now = System.nanoTime();
        if (ticks++ % TICKS_PER_PLAN == 0) {
            StoreReaderPlan plan = planner.apply(now);
            // Right after a pause of this process, all other nodes look silent.
            boolean reader = plan.reader() && planned;
            planned = plan.reader();
            feeds.forEach(f -> f.assign(plan, reader));
        }
        for (StoreFeed f : feeds) {
            f.tick(now)
                    .ifPresent(
                            from -> {
                                requests++;
                                network.send(new NodeId(from), f.request());
                            });
        }
    }

    private void send(List<String> runs, StoreNews news) {
        if (!runs.isEmpty()) {
            newsMessages += runs.size();
            newsItems += (long) runs.size() * news.items().size();
            PeerMessage message = news.sentAt(System.nanoTime());
            network.send(runs.stream().map(NodeId::new).toList(), message);
        }
    }

    private void receive(String from, StoreNews news, long arrivedNanos) {
        long delay =
                news.sentNanos() == 0 ? 0 : delays.record(from, news.sentNanos(), arrivedNanos);
        logDelay(from, delay);
        long proven = arrivedNanos - delay - TimeUnit.MILLISECONDS.toNanos(news.ageMillis());
        feeds.stream()
                .filter(f -> f.prefix().equals(news.prefix()))
                .forEach(
                        f ->
                                GuardedTask.run(
                                        "store news " + news.prefix(),
                                        () -> f.receive(from, news, proven, System.nanoTime()),
                                        log));
    }

    private void logDelay(String from, long delayNanos) {
        if (delayNanos > LOGGED_DELAY_NANOS) {
            log.line("store.news_delayed")
                    .add("from", from)
                    .add("ms", TimeUnit.NANOSECONDS.toMillis(delayNanos))
                    .write();
        }
    }

    private void answer(NodeId from, StoreNewsRequest request) {
        feeds.stream()
                .filter(f -> f.prefix().equals(request.prefix()))
                .flatMap(f -> f.reply(request, System.nanoTime()).stream())
                .forEach(news -> send(List.of(from.value()), news));
    }

    /** Appends the metrics in the Prometheus text format. */
    void writeMetrics(StringBuilder to) {
        long now = System.nanoTime();
        to.append("# TYPE carobdoor_gateway_store_mode gauge\n");
        feeds.forEach(f -> to.append(gauge(f, "store_mode", f.mode().label()) + 1 + '\n'));
        to.append("# TYPE carobdoor_gateway_store_news_age_ms gauge\n");
        feeds.forEach(
                f -> to.append(gauge(f, "store_news_age_ms", "") + f.newsAgeMillis(now) + '\n'));
        to.append("# TYPE carobdoor_gateway_store_news counter\n")
                .append("carobdoor_gateway_store_news_total{what=\"messages\"} ")
                .append(newsMessages)
                .append("\ncarobdoor_gateway_store_news_total{what=\"items\"} ")
                .append(newsItems)
                .append("\ncarobdoor_gateway_store_news_total{what=\"requests\"} ")
                .append(requests)
                .append('\n');
    }

    private static String gauge(StoreFeed feed, String name, String mode) {
        String modeLabel = mode.isEmpty() ? "" : ",mode=\"" + mode + '"';
        return "carobdoor_gateway_" + name + "{prefix=\"" + feed.prefix() + '"' + modeLabel + "} ";
    }
}
