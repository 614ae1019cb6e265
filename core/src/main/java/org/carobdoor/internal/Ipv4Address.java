package org.carobdoor.internal;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses IPv4 addresses with ports. Names are never resolved, which would block the caller. */
public final class Ipv4Address {
    private static final Pattern FORMAT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})[: ](\\d{1,5})");

    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private Ipv4Address() {}

    /**
     * Parses an address such as {@code 10.0.0.1:80}, in which a space may replace the colon; empty
     * if it is malformed or out of range.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher m = FORMAT.matcher(text);
        if (!m.matches()) {
            return Optional.empty();
        }
        byte[] octets = new byte[OCTETS];
        for (int i = 0; i < OCTETS; i++) {
            int octet = Integer.parseInt(m.group(i + 1));
            if (octet > MAX_OCTET) {
                return Optional.empty();
            }
            octets[i] = (byte) octet;
        }
        int port = Integer.parseInt(m.group(OCTETS + 1));
        if (port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByAddress(octets), port));
        } catch (UnknownHostException e) {
            throw new AssertionError("four octets are a valid address", e);
        }
    }
}
