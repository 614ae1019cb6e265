package org.carobdoor.node;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.carobdoor.Failure;
import org.carobdoor.Result;
import org.carobdoor.node.gateway.Gateway;
import org.carobdoor.node.gateway.settings.GatewaySettings;
import org.carobdoor.node.gateway.settings.GatewaySettingsLoader;
import org.carobdoor.node.logging.LogSetup;
import org.carobdoor.node.settings.LogSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/** Runs a {@link Gateway} until the process receives a termination signal. */
final class GatewayDaemon {
    private static final int EXIT_FAILURE = 1;

    private GatewayDaemon() {}

    static void run(Path file, boolean checkOnly) throws InterruptedException {
        switch (GatewaySettingsLoader.load(file)) {
            case Result.Err<GatewaySettings>(Failure failure) -> exit(failure.detail());
            case Result.Ok<GatewaySettings>(GatewaySettings settings) -> {
                if (checkOnly) {
                    System.out.println(file + ": ok");
                    return;
                }
                LogSetup.applyNonBlocking(new LogSettings(false, settings.logLevel()));
                installReloadHandler(file);
                start(settings);
            }
        }
    }

    private static void start(GatewaySettings settings) throws InterruptedException {
        switch (Gateway.start(settings)) {
            case Result.Err<Gateway>(Failure failure) ->
                    exit("carobdoord: " + failure + "\nsee docs/TROUBLESHOOTING.md#start");
            case Result.Ok<Gateway>(Gateway gateway) -> {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(gateway), "stop"));
                // The event loop keeps the process alive; the main thread only has to block.
                new CountDownLatch(1).await();
            }
        }
    }

    private static void stop(Gateway gateway) {
        try {
            gateway.stopGracefully();
            gateway.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reloads the log level on SIGHUP. Without a handler, the signal would terminate the process.
     */
    private static void installReloadHandler(Path file) {
        Logger log = LoggerFactory.getLogger(GatewayDaemon.class);
        Signal.handle(
                new Signal("HUP"),
                signal -> {
                    switch (GatewaySettingsLoader.load(file)) {
                        case Result.Ok<GatewaySettings>(GatewaySettings settings) -> {
                            LogSetup.applyNonBlocking(new LogSettings(false, settings.logLevel()));
                            log.info("settings.reloaded file={}", file);
                        }
                        case Result.Err<GatewaySettings>(Failure failure) ->
                                log.warn("settings.refused failure=\"{}\"", failure.detail());
                    }
                });
    }

    private static void exit(String message) {
        System.err.println(message);
        System.exit(EXIT_FAILURE);
    }
}
