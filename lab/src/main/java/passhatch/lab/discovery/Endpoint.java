package passhatch.lab.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One backend as discovery lists it.
 *
 * @param address where proxies reach it, an IP address and a port
 * @param weight 1.0 is usual
 * @param startedMs its last start, Unix time in milliseconds; 0 for long ago
 */
public record Endpoint(String name, String address, String zone, String machineType, int cell, Status status,
        double weight, long startedMs) {

    /** What discovery says of a backend. */
    public enum Status {
        /** It serves. */
        SERVING,
        /** It finishes what it has. */
        DRAINING,
        /** It is no longer listed; only among changes. */
        DELETED
    }

    /** A serving backend of the usual weight, started long ago. */
    public static Endpoint serving(String name, String address, String zone, String machineType, int cell) {
        return new Endpoint(name, address, zone, machineType, cell, Status.SERVING, 1.0, 0);
    }

    /** The same backend in another state. */
    public Endpoint withStatus(Status newStatus) {
        return new Endpoint(name, address, zone, machineType, cell, newStatus, weight, startedMs);
    }

    /** The entry as discovery writes it. */
    public Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", name);
        json.put("address", address);
        json.put("zone", zone);
        json.put("type", machineType);
        json.put("group", cell);
        json.put("status", status.name());
        json.put("weight", weight);
        json.put("since_ms", startedMs);
        return json;
    }
}
