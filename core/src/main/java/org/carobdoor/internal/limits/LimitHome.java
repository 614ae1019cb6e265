package org.carobdoor.internal.limits;

import java.time.Instant;
import org.carobdoor.internal.Preconditions;
import org.carobdoor.message.AllotmentReply;
import org.carobdoor.message.AllotmentRequest;

/**
 * Grants allotments of one limit at its home node, for all kinds except requests in flight.
 *
 * <pre>{@code
 * LimitHome home = new LimitHome(LimitKind.REQUESTS_PER_SECOND, clock.instant());
 * AllotmentReply reply = home.grant(request, limit, homeSince, clock.instant());
 * }</pre>
 *
 * <p>Not thread-safe.
 */
public final class LimitHome {
    private final LimitKind kind;
    private LimitWindow window;
    private Instant since = Instant.MIN;
    private long granted;

    /** Creates the state of the home node of one limit. */
    public LimitHome(LimitKind kind, Instant now) {
        this.kind = kind;
        this.window = LimitWindow.at(kind, now);
    }

    /**
     * Grants as much of the requested amount as is left.
     *
     * <p>A home node that can grant nothing because it took over during the window sends a reply
     * that has already expired, and the requesting node continues with its fallback share.
     *
     * @param limit the limit in force
     * @param homeSince since when this node has been the home
     */
    public AllotmentReply grant(
            AllotmentRequest request, long limit, Instant homeSince, Instant now) {
        LimitWindow current = LimitWindow.at(kind, now);
        if (current.begin().isAfter(window.begin()) || !homeSince.equals(since)) {
            window = current;
            since = homeSince;
            granted = 0;
        }
        boolean isNew = since.isAfter(window.begin());
        long before = isNew ? window.allowance(limit, since) : 0;
        long left = Math.max(0, window.allowance(limit, now) - before - granted);
        long grant = Math.max(0, Math.min(request.wanted(), left));
        granted += grant;
        Preconditions.checkInvariant(
                grant == 0 || before + granted <= limit, "grants of one window exceed the limit");
        return new AllotmentReply(
                request.limit(), grant, isNew && grant == 0 ? Instant.EPOCH : window.end());
    }
}
