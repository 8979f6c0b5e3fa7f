package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The state that operators set. It applies to all processes of one proxy and outlives them.
 *
 * @param version increases with each change
 * @param disabledBackends ids of the backends that are disabled; {@code out} in the stored JSON
 * @param outOfService whether the proxy is out of service
 */
record SharedState(long version, Set<String> disabledBackends, boolean outOfService) {

    /** The state before the first change. */
    static final SharedState INITIAL = new SharedState(0, Set.of(), false);

    /** The same state and version with a backend disabled or enabled. */
    SharedState withDisabled(String backend, boolean disabled) {
        Set<String> changed = new TreeSet<>(disabledBackends);
        if (disabled) {
            changed.add(backend);
        } else {
            changed.remove(backend);
        }
        return new SharedState(version, Set.copyOf(changed), outOfService);
    }

    /** The same state and version with the proxy out of service or in service. */
    SharedState withOutOfService(boolean isOutOfService) {
        return new SharedState(version, disabledBackends, isOutOfService);
    }

    /** The same state with another version. */
    SharedState withVersion(long newVersion) {
        return new SharedState(newVersion, disabledBackends, outOfService);
    }

    /**
     * Parses the output of {@link #toJson}.
     *
     * @throws IOException if any field is missing or malformed. Accepting only some of the fields would
     *     enable backends that operators have disabled
     */
    static SharedState fromJson(String json) throws IOException {
        Map<String, Object> fields = JSON.std.mapFrom(json);
        if (fields.get("version") instanceof Number version
                && fields.get("out") instanceof List<?> disabledIds
                && disabledIds.stream().allMatch(String.class::isInstance)
                && fields.get("outOfService") instanceof Boolean outOfService) {
            return new SharedState(version.longValue(),
                    Set.copyOf(disabledIds.stream().map(String.class::cast).toList()), outOfService);
        }
        throw new IOException("a field is missing or malformed");
    }

    /** The state as JSON, in the format that all versions of this program read. */
    String toJson() throws IOException {
        return JSON.std.asString(Map.of("version", version,
                "out", List.copyOf(new TreeSet<>(disabledBackends)), "outOfService", outOfService));
    }
}
