package org.carobdoor.node;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Chooses ports on the loopback interface for servers that a test starts. */
public final class FreePorts {
    private static final int FIRST = 20_000;
    private static final int END = 32_000;
    private static final Set<Integer> USED = ConcurrentHashMap.newKeySet();

    private FreePorts() {}

    /** Returns a port outside the range from which the system takes ports of outgoing calls. */
    public static int next() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST, END);
            if (USED.add(port)) {
                try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    return s.getLocalPort();
                } catch (BindException e) {
                    // Another program has it.
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }
        }
    }
}
