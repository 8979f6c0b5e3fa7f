package passhatch.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * One message of discovery: a full list of backends, or a list of changes.
 *
 * @param index version of the list
 * @param full true for a full list, false for a list of changes
 * @param endpoints the backends of the full list, or those that have changed
 */
record EndpointList(long index, boolean full, List<Endpoint> endpoints) {

    /** The list before anything is known: a full list of version 0 without backends. */
    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** A backend and the address at which this proxy reaches it. */
    record Endpoint(Server server, InetSocketAddress address) { }

    List<Server> servers() {
        return endpoints.stream().map(Endpoint::server).toList();
    }

    /**
     * Parses a message.
     *
     * @param zones names of the zones; a backend refers to its zone by its position in this list
     * @param machineTypes names of the machine types, referred to in the same way
     * @throws IllegalArgumentException if any part is malformed. The valid part can't be used alone, because
     *     backends that are missing from a full list count as gone
     */
    static EndpointList parse(Map<String, Object> json, List<String> zones, List<String> machineTypes) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (Object item : requireField(json, "endpoints", List.class)) {
            if (!(item instanceof Map<?, ?> entry)) {
                throw new IllegalArgumentException("an endpoint is not an object");
            }
            endpoints.add(parseEndpoint(entry, zones, machineTypes));
        }
        return new EndpointList(requireField(json, "index", Number.class).longValue(),
                requireField(json, "snapshot", Boolean.class), endpoints);
    }

    private static Endpoint parseEndpoint(Map<?, ?> entry, List<String> zones, List<String> machineTypes) {
        ServerStatus status = switch (requireField(entry, "status", String.class)) {
            case "SERVING" -> ServerStatus.UP;
            case "DRAINING" -> ServerStatus.DRAINING;
            case "DELETED" -> ServerStatus.GONE;
            default -> throw new IllegalArgumentException("status '" + entry.get("status")
                    + "' is not known");
        };
        Server server = new Server(requireField(entry, "name", String.class),
                Clock.fromUnixMs(requireField(entry, "since_ms", Number.class).longValue()),
                zones.indexOf(entry.get("zone")),
                entry.get("group") instanceof Number group ? group.intValue() : 0,
                status, machineTypes.indexOf(entry.get("type")));
        return new Endpoint(server, ProxyConfig.parseAddress(requireField(entry, "address", String.class)));
    }

    private static <T> T requireField(Map<?, ?> json, String key, Class<T> type) {
        Object value = json.get(key);
        if (!type.isInstance(value)) {
            throw new IllegalArgumentException(key + " is missing or not a " + type.getSimpleName());
        }
        return type.cast(value);
    }
}
