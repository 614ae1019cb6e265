package org.carobdoor.node.gateway.endpoint;

import java.util.EnumMap;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.carobdoor.internal.directory.EndpointEntry;
import org.carobdoor.internal.directory.EndpointNews;
import org.carobdoor.internal.directory.NewsSource;
import org.carobdoor.node.gateway.log.DecisionLog;

/**
 * Logs what this node learns of endpoints, with its source, the store's revision and how old it can
 * be, and measures the age of the news that an endpoint takes no more requests. Confined to the
 * event loop.
 */
public final class EndpointNewsLog {
    private static final String NEWS = "carobdoor_gateway_endpoint_news";
    private static final String AGE = "carobdoor_gateway_endpoint_leaving_news_age_ms";
    private static final long MAX_AGE_MILLIS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<NewsSource.Kind, Long> counts = new EnumMap<>(NewsSource.Kind.class);
    private final Histogram leavingAge = new Histogram(MAX_AGE_MILLIS, SIGNIFICANT_DIGITS);
    private final DecisionLog log;

    EndpointNewsLog(DecisionLog log) {
        this.log = log;
    }

    void listed(EndpointEntry entry, EndpointNews news) {
        count(news);
        withNews(log.line("endpoint.listed").add("endpoint", entry.id()), news)
                .add("service", entry.service())
                .add("zone", entry.zone())
                .add("accepting", entry.accepting())
                .add("born", entry.startedAtMillis())
                .write();
    }

    void changed(EndpointEntry before, EndpointEntry after, EndpointNews news) {
        count(news);
        if (before.accepting() == after.accepting()) {
            return;
        }
        if (!after.accepting()) {
            recordAge(news);
        }
        withNews(log.line("endpoint.changed").add("endpoint", after.id()), news)
                .add("accepting", after.accepting())
                .add("leaves_ms", after.leavesInMillis().orElse(-1))
                .write();
    }

    void unlisted(EndpointEntry last, EndpointNews news) {
        count(news);
        if (last.accepting()) {
            recordAge(news);
        }
        withNews(log.line("endpoint.unlisted").add("endpoint", last.id()), news).write();
    }

    private static DecisionLog.Line withNews(DecisionLog.Line line, EndpointNews news) {
        return line.add("source", news.source().kind().label())
                .add("from", news.source().from())
                .add("revision", news.revision())
                .add("max_age_ms", news.source().maxAgeMillis());
    }

    private void count(EndpointNews news) {
        counts.merge(news.source().kind(), 1L, Long::sum);
    }

    private void recordAge(EndpointNews news) {
        leavingAge.recordValue(Math.clamp(news.source().maxAgeMillis(), 0, MAX_AGE_MILLIS));
    }

    /** Writes the metrics in the Prometheus text format. */
    public void write(StringBuilder to) {
        to.append("# TYPE ").append(NEWS).append(" counter\n");
        for (NewsSource.Kind k : NewsSource.Kind.values()) {
            to.append(NEWS)
                    .append("_total{source=\"")
                    .append(k.label())
                    .append("\"} ")
                    .append(counts.getOrDefault(k, 0L))
                    .append('\n');
        }
        to.append("# TYPE ").append(AGE).append(" summary\n");
        for (double q : new double[] {0.5, 0.99, 1}) {
            to.append(AGE)
                    .append("{quantile=\"")
                    .append(q)
                    .append("\"} ")
                    .append(leavingAge.getValueAtPercentile(q * 100))
                    .append('\n');
        }
        to.append(AGE).append("_count ").append(leavingAge.getTotalCount()).append('\n');
    }
}
