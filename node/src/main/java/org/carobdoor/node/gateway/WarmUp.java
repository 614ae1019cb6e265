package org.carobdoor.node.gateway;

import java.util.concurrent.TimeUnit;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.node.gateway.settings.GatewaySettingsLoader;
import org.carobdoor.node.logging.LogSetup;
import org.carobdoor.node.settings.LogSettings;

/**
 * Starts and stops a node on the local machine during the build. The classes that it loads are
 * added to the class data archive that shortens the start of the daemon.
 */
public final class WarmUp {
    private static final long RUN_MILLIS = 700;

    private static final String SETTINGS =
            """
            [node]
            name = "warm-up"
            availability_zone = "none"
            [listen]
            callers = "127.0.0.1:18360"
            readiness = "127.0.0.1:18365"
            peer = "127.0.0.1:18366"
            metrics = "127.0.0.1:18367"
            [peers]
            cluster_keys = ["warm-up-cluster-key"]
            [platform]
            store = "127.0.0.1:18361"
            cloud = "127.0.0.1:18361"
            duties = ["usage", "scale"]
            [bounds]
            stop_grace = "1s"
            """;

    private WarmUp() {}

    /** Runs a node for {@value #RUN_MILLIS} ms. */
    public static void main(String[] args) throws InterruptedException {
        LogSetup.applyNonBlocking(new LogSettings(false, "error"));
        switch (GatewaySettingsLoader.parse("warm-up", SETTINGS)) {
            case Result.Err<GatewaySettings>(Failure failure) ->
                    throw new IllegalStateException(failure.toString());
            case Result.Ok<GatewaySettings>(GatewaySettings settings) -> run(settings);
        }
    }

    private static void run(GatewaySettings settings) throws InterruptedException {
        switch (Gateway.start(settings)) {
            case Result.Err<Gateway>(Failure failure) ->
                    throw new IllegalStateException(failure.toString());
            case Result.Ok<Gateway>(Gateway gateway) -> {
                TimeUnit.MILLISECONDS.sleep(RUN_MILLIS);
                gateway.close();
            }
        }
    }
}
