package passhatch.lab.discovery;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A backend as discovery lists it.
 *
 * @param address IP address and port, separated by a colon
 * @param weight usually 1.0
 * @param startedMs Unix time of its last start in milliseconds; 0 if that is long ago
 */
public record Endpoint(String name, String address, String zone, String machineType, int cell, Status status,
        double weight, long startedMs) {

    /** Status of a backend. */
    public enum Status {
        /** It accepts requests. */
        SERVING,
        /** It finishes the requests that it has. */
        DRAINING,
        /** It was removed from the list; occurs only in changes. */
        DELETED
    }

    /** Creates a serving backend of weight 1.0 that started long ago. */
    public static Endpoint serving(String name, String address, String zone, String machineType, int cell) {
        return new Endpoint(name, address, zone, machineType, cell, Status.SERVING, 1.0, 0);
    }

    /** Returns the same backend with another status. */
    public Endpoint withStatus(Status newStatus) {
        return new Endpoint(name, address, zone, machineType, cell, newStatus, weight, startedMs);
    }

    /** Returns the entry as in the JSON messages of discovery. */
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
