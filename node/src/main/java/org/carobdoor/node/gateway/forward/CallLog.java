package org.carobdoor.node.gateway.forward;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.retries.GiveUpReason;
import org.jspecify.annotations.Nullable;

/** Writes the log lines of a {@link ForwardedCall}. */
final class CallLog {
    private CallLog() {}

    /** Logs that a request is sent to another endpoint after {@code sends} sends. */
    static void retry(CallContext call, String cause, int sends) {
        call.state()
                .log()
                .line("request.again")
                .add("id", call.request().id())
                .add("service", call.service().name())
                .add("cause", cause)
                .add("sends", sends)
                .write();
    }

    /** Logs the end of a request, {@code millis} after its arrival. */
    static void ended(
            CallContext call,
            Outcome outcome,
            String cause,
            Set<EndpointId> endpoints,
            int sends,
            @Nullable GiveUpReason gaveUp,
            long millis) {
        call.state()
                .log()
                .line("request.ended")
                .add("id", call.request().id())
                .add("route", call.route().name())
                .add("account", call.accountName())
                .add("outcome", outcome.label())
                .add("cause", cause)
                .add("endpoints", endpoints)
                .add("sends", sends)
                .add("gave_up", gaveUp == null ? "-" : gaveUp)
                .add("units", Math.round(call.units()))
                .add("ms", millis)
                .add("read_late_ms", TimeUnit.NANOSECONDS.toMillis(call.exchange().maxWaitNanos()))
                .add("news_ms", call.state().newsAgeMillis())
                .write();
    }
}
