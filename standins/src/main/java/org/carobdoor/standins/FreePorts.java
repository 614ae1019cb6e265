package org.carobdoor.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Allocates free loopback ports for servers that tests, measurements and the build start. */
public final class FreePorts {
    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_000;
    private static final Set<Integer> USED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /**
     * Returns a free port outside the ephemeral port range of the system, so that outgoing
     * connections cannot take it.
     */
    public static int next() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, END_PORT);
            if (USED.add(port)) {
                try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    return s.getLocalPort();
                } catch (BindException e) {
                    // The port is in use; try the next one.
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }
}
