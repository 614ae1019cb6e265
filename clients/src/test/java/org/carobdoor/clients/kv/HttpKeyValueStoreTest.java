package org.carobdoor.clients.kv;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Set;
import org.carobdoor.Bytes;
import org.carobdoor.Failure;
import org.carobdoor.FailureKind;
import org.carobdoor.Result;
import org.carobdoor.standins.platform.PlatformFaults;
import org.carobdoor.standins.platform.PlatformOptions;
import org.carobdoor.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against failures that misstate whether a write took effect. */
final class HttpKeyValueStoreTest {
    private static final Bytes VALUE = Bytes.of(new byte[] {0, (byte) 0xff, 7});

    private PlatformStandIn platform = PlatformStandIn.start(PlatformOptions.defaults());
    private final HttpKeyValueStore store =
            HttpKeyValueStore.create(platform.url(), InstantSource.system());

    @AfterEach
    void close() {
        store.close();
        platform.close();
    }

    @Test
    void valueIsReadAsItWasWritten() {
        assertThat(store.get("k", deadline()).orElseThrow()).isEmpty();
        assertThat(store.compareAndSet("k", 0, VALUE, deadline()).orElseThrow()).isEqualTo(1);
        var read = store.get("k", deadline()).orElseThrow().orElseThrow();
        assertThat(read.value()).isEqualTo(VALUE);
        assertThat(read.version()).isEqualTo(1);
        assertThat(store.list("k", deadline()).orElseThrow().values()).containsExactly(read);
    }

    @Test
    void otherVersionIsAConflict() {
        store.compareAndSet("k", 0, VALUE, deadline()).orElseThrow();
        Failure failure = failureOf(store.compareAndSet("k", 0, VALUE, deadline()));
        assertThat(failure.kind()).isEqualTo(FailureKind.CONFLICT);
        assertThat(failure.step()).isEqualTo("kv.cas");
        assertThat(failure.peer()).isEqualTo("127.0.0.1:" + platform.port());
        assertThat(kind(store.delete("k", 2, deadline()))).isEqualTo(FailureKind.CONFLICT);
        assertThat(store.delete("k", 1, deadline()).orElseThrow()).isEqualTo(2);
    }

    @Test
    void lostResponseIsUnknownAndTheWriteTookEffect() {
        platform.setFaults(new PlatformFaults(false, false, 0, 1, 0, Set.of()));
        assertThat(kind(store.compareAndSet("k", 0, VALUE, deadline())))
                .isEqualTo(FailureKind.UNKNOWN);
        assertThat(store.get("k", deadline()).orElseThrow()).isPresent();
    }

    @Test
    void brokenConnectionIsUnknownForAWriteAndNotDoneForARead() {
        platform.setFaults(new PlatformFaults(true, false, 0, 0, 0, Set.of()));
        assertThat(kind(store.compareAndSet("k", 0, VALUE, deadline())))
                .isEqualTo(FailureKind.UNKNOWN);
        assertThat(kind(store.acquireLease("l", "h", deadline(), deadline())))
                .isEqualTo(FailureKind.UNKNOWN);
        assertThat(kind(store.get("k", deadline()))).isEqualTo(FailureKind.NOT_DONE);
        assertThat(kind(store.watch("k", 0, deadline()))).isEqualTo(FailureKind.NOT_DONE);
    }

    @Test
    void slowServiceEndsTheCallAtTheDeadline() {
        platform.setFaults(new PlatformFaults(false, false, 5_000, 0, 0, Set.of()));
        Instant start = Instant.now();
        var written = store.compareAndSet("k", 0, VALUE, start.plusMillis(150));
        assertThat(kind(written)).isEqualTo(FailureKind.UNKNOWN);
        assertThat(Duration.between(start, Instant.now())).isLessThan(Duration.ofSeconds(2));
        assertThat(kind(store.get("k", start))).isEqualTo(FailureKind.NOT_DONE);
    }

    @Test
    void refusedConnectionIsNotDone() throws IOException {
        // A socket that is bound but does not listen refuses connections and reserves its port. A
        // server that was just closed could still accept a connection.
        try (var bound = SocketChannel.open()) {
            bound.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            var address = (InetSocketAddress) bound.getLocalAddress();
            String url = "http://127.0.0.1:" + address.getPort();
            try (var refused = HttpKeyValueStore.create(url, InstantSource.system())) {
                assertThat(kind(refused.compareAndSet("k", 0, VALUE, deadline())))
                        .isEqualTo(FailureKind.NOT_DONE);
            }
        }
    }

    @Test
    void callAboveTheRateLimitIsNotDone() {
        platform.close();
        platform = PlatformStandIn.start(PlatformOptions.defaults().rates(1, 2000));
        try (var limited = HttpKeyValueStore.create(platform.url(), InstantSource.system())) {
            limited.compareAndSet("a", 0, VALUE, deadline()).orElseThrow();
            var second = limited.compareAndSet("b", 0, VALUE, deadline());
            assertThat(kind(second)).isEqualTo(FailureKind.NOT_DONE);
        }
    }

    @Test
    void watchEndsWithAnEmptyListAtItsDeadline() {
        var list = store.watch("k", 0, Instant.now().plusMillis(300)).orElseThrow();
        assertThat(list.values()).isEmpty();
    }

    @Test
    void leaseCarriesItsFencingNumber() {
        Instant until = Instant.now().plusSeconds(60);
        assertThat(store.acquireLease("l", "a", until, deadline()).orElseThrow().fencing())
                .isEqualTo(1);
        assertThat(kind(store.acquireLease("l", "b", until, deadline())))
                .isEqualTo(FailureKind.CONFLICT);
        platform.keyValues().expireLease("l");
        assertThat(store.acquireLease("l", "b", until, deadline()).orElseThrow().fencing())
                .isEqualTo(2);
    }

    private static Instant deadline() {
        return Instant.now().plusSeconds(3);
    }

    private static FailureKind kind(Result<?> result) {
        return failureOf(result).kind();
    }

    private static Failure failureOf(Result<?> result) {
        assertWithMessage("%s", result).that(result).isInstanceOf(Result.Err.class);
        return ((Result.Err<?>) result).failure();
    }
}
