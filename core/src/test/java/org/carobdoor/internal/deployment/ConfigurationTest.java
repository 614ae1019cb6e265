package org.carobdoor.internal.deployment;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.carobdoor.ClientAccount;
import org.junit.jupiter.api.Test;

/** Guards against requests being matched to the wrong route or account. */
final class ConfigurationTest {
    private static Route route(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RouteKind.SAFE,
                1_000,
                100,
                0,
                0,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                false,
                false);
    }

    private final Configuration configuration =
            Configuration.of(
                    7,
                    List.of(
                            route("short", "a.example", "/x/"),
                            route("long", "a.example", "/x/y/"),
                            route("other", "b.example", "/x/")),
                    List.of(),
                    List.of(
                            new Account(
                                    new ClientAccount("hay"),
                                    Set.of("k1", "k2"),
                                    OptionalInt.empty(),
                                    Optional.empty())),
                    CallerLimits.defaults());

    @Test
    void longestPrefixWins() {
        assertThat(configuration.match("A.example", "/x/y/z").orElseThrow().name())
                .isEqualTo("long");
        assertThat(configuration.match("a.example", "/x/z").orElseThrow().name())
                .isEqualTo("short");
    }

    @Test
    void prefixWithoutTrailingSlashDoesNotMatch() {
        assertThat(configuration.match("a.example", "/x")).isEmpty();
        assertThat(configuration.match("c.example", "/x/")).isEmpty();
    }

    @Test
    void keyIdentifiesItsAccount() {
        assertThat(configuration.accountOf("k2").orElseThrow().id().value()).isEqualTo("hay");
        assertThat(configuration.accountOf("k3")).isEmpty();
        assertThat(configuration.accountOf(null)).isEmpty();
    }

    @Test
    void sharesOfARouteFollowTheWeights() {
        Route split =
                new Route(
                        "r",
                        "a",
                        "/",
                        RouteKind.SAFE,
                        1,
                        1,
                        0,
                        0,
                        List.of(new WeightedService("s", 90), new WeightedService("t", 10)),
                        1,
                        false,
                        false,
                        false);
        assertThat(split.pickService(0)).isEqualTo("s");
        assertThat(split.pickService(0.89)).isEqualTo("s");
        assertThat(split.pickService(0.91)).isEqualTo("t");
    }
}
