package org.carobdoor.internal.membership;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** The transport through which the driver of {@link Membership} exchanges datagrams. */
public interface ProbeTransport {

    /** Sends {@code datagram} without blocking; it may be lost. */
    void send(InetSocketAddress to, Datagram datagram);

    /** Sets the receiver of datagrams, which must not block for long. */
    void listen(Consumer<Datagram> listener);
}
