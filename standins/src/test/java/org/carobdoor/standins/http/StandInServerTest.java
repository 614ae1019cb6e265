package org.carobdoor.standins.http;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.ConnectException;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/**
 * Guards against a closed server that still accepts connections, unlike a killed process. Netty
 * leaves the listening socket open if its event loops are stopped first.
 */
final class StandInServerTest {
    @Test
    void closedServerRefusesConnectionsAtOnce() throws Exception {
        for (int i = 0; i < 10; i++) {
            var server = StandInServer.start(0, app -> {});
            var address = server.address();
            new Socket(address.getAddress(), address.getPort()).close();
            server.close();
            assertThrows(
                    ConnectException.class,
                    () -> new Socket(address.getAddress(), address.getPort()).close());
        }
    }
}
