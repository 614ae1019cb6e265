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

/** Decodes the VM list of the cloud API. */
final class VmDecoder {
    private static final int MAX_PORT = 65_535;

    private static final String OCTET = "(25[0-5]|2[0-4]\\d|1?\\d?\\d)";
    private static final Pattern IP_LITERAL =
            Pattern.compile(OCTET + "(\\." + OCTET + "){3}|\\[[0-9a-fA-F:.]*:[0-9a-fA-F:.]*]");

    private VmDecoder() {}

    static VmList decodeList(JsonNode json) {
        List<EndpointRecord> endpoints = new ArrayList<>();
        List<EntryVm> entries = new ArrayList<>();
        for (JsonNode vm : json.path("vms")) {
            Optional<InetSocketAddress> address = decodeAddress(vm.path("address").asText());
            if (address.isEmpty()
                    || vm.path("id").asText().isBlank()
                    || vm.path("zone").asText().isBlank()) {
                continue;
            }
            if (vm.path("role").asText().equals("entry")) {
                entries.add(decodeEntryVm(vm, address.get()));
            } else {
                endpoints.add(decodeEndpoint(vm, address.get()));
            }
        }
        return new VmList(endpoints, entries);
    }

    private static EntryVm decodeEntryVm(JsonNode vm, InetSocketAddress address) {
        return new EntryVm(
                vm.path("id").asText(),
                new AvailabilityZone(vm.path("zone").asText()),
                address,
                vm.path("state").asText().equals("leaving"));
    }

    private static EndpointRecord decodeEndpoint(JsonNode vm, InetSocketAddress address) {
        return new EndpointRecord(
                new EndpointId(vm.path("id").asText()),
                new AvailabilityZone(vm.path("zone").asText()),
                address,
                vm.path("service").asText(),
                decodeModels(vm),
                vm.path("machineClass").asText(),
                vm.path("pricing").asText().equals("reclaimable"),
                vm.path("pricePerHour").asDouble(),
                vm.path("checksFencing").asBoolean(),
                decodeState(vm.path("state").asText()),
                Optional.empty(),
                Optional.empty());
    }

    private static Set<String> decodeModels(JsonNode vm) {
        Set<String> models = new HashSet<>();
        vm.path("models").forEach(m -> models.add(m.asText()));
        return models;
    }

    // An unknown state is decoded as LEAVING, so that no new requests are sent to the VM.
    private static EndpointState decodeState(String text) {
        return switch (text) {
            case "starting" -> EndpointState.STARTING;
            case "live" -> EndpointState.LIVE;
            case "gone" -> EndpointState.GONE;
            default -> EndpointState.LEAVING;
        };
    }

    /** Decodes {@code ip:port}; an empty text yields the wildcard address with port 0. */
    private static Optional<InetSocketAddress> decodeAddress(String text) {
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
            // Only IP literals are accepted, so that decoding never causes a DNS lookup.
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
