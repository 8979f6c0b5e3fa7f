package passhatch.proxy;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * One message of discovery.
 *
 * @param index its version
 * @param full true where it holds the whole list, false where it holds changes
 */
record EndpointList(long index, boolean full, List<Endpoint> endpoints) {

    static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    /** A backend and where this proxy reaches it. */
    record Endpoint(Server server, InetSocketAddress address) { }

    List<Server> servers() {
        return endpoints.stream().map(Endpoint::server).toList();
    }

    /**
     * Reads a message.
     *
     * @throws IllegalArgumentException where any of it is malformed: half a list would pass off the backends
     *     that it lacks as gone
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
