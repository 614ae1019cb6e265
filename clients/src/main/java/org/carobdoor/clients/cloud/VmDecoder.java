package org.carobdoor.clients.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.carobdoor.AvailabilityZone;
import org.carobdoor.EndpointId;
import org.carobdoor.internal.endpoint.EndpointRecord;
import org.carobdoor.internal.endpoint.EndpointState;

/** Reads the VMs of the cloud API's answers. */
final class VmDecoder {
    private static final int MAX_PORT = 65_535;

    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern IP_LITERAL =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]");

    private VmDecoder() {}

    static VmList list(JsonNode json) {
        List<EndpointRecord> endpoints = new ArrayList<>();
        List<EntryVm> entries = new ArrayList<>();
        for (JsonNode vm : json.path("vms")) {
            Optional<InetSocketAddress> address = address(vm.path("address").asText());
            if (address.isEmpty()
                    || vm.path("id").asText().isBlank()
                    || vm.path("zone").asText().isBlank()) {
                continue;
            }
            if (vm.path("role").asText().equals("entry")) {
                entries.add(entry(vm, address.get()));
            } else {
                endpoints.add(endpoint(vm, address.get()));
            }
        }
        return new VmList(endpoints, entries);
    }

    private static EntryVm entry(JsonNode vm, InetSocketAddress address) {
        return new EntryVm(
                vm.path("id").asText(),
                new AvailabilityZone(vm.path("zone").asText()),
                address,
                vm.path("state").asText().equals("leaving"));
    }

    private static EndpointRecord endpoint(JsonNode vm, InetSocketAddress address) {
        return new EndpointRecord(
                new EndpointId(vm.path("id").asText()),
                new AvailabilityZone(vm.path("zone").asText()),
                address,
                vm.path("service").asText(),
                models(vm),
                vm.path("machineClass").asText(),
                vm.path("pricing").asText().equals("reclaimable"),
                vm.path("pricePerHour").asDouble(),
                vm.path("checksFencing").asBoolean(),
                state(vm.path("state").asText()),
                Optional.empty(),
                Optional.empty());
    }

    private static Set<String> models(JsonNode vm) {
        Set<String> models = new HashSet<>();
        vm.path("models").forEach(m -> models.add(m.asText()));
        return models;
    }

    // A state that this version does not know is taken as leaving: nothing new is sent there.
    private static EndpointState state(String text) {
        return switch (text) {
            case "starting" -> EndpointState.STARTING;
            case "live" -> EndpointState.LIVE;
            case "gone" -> EndpointState.GONE;
            default -> EndpointState.LEAVING;
        };
    }

    /** Reads {@code ip:port}; an empty text gives the wildcard address with port 0. */
    private static Optional<InetSocketAddress> address(String text) {
        if (text.isEmpty()) {
            return Optional.of(new InetSocketAddress(0));
        }
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            String host = text.substring(0, colon);
            // Only literals, so that the list can cause no name look-up.
            if (!IP_LITERAL.matcher(host).matches()) {
                return Optional.empty();
            }
            InetAddress ip = InetAddress.getByName(host);
            return port < 0 || port > MAX_PORT
                    ? Optional.empty()
                    : Optional.of(new InetSocketAddress(ip, port));
        } catch (NumberFormatException | UnknownHostException e) {
            return Optional.empty();
        }
    }
}
