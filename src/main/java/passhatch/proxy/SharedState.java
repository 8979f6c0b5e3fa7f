package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * What staff have set by hand: it holds for every process that serves under one name, and outlives each.
 *
 * @param version grows with each change
 * @param disabledBackends ids of the backends taken out
 */
record SharedState(long version, Set<String> disabledBackends, boolean outOfService) {

    static final SharedState INITIAL = new SharedState(0, Set.of(), false);

    SharedState withDisabled(String backend, boolean disabled) {
        Set<String> changed = new TreeSet<>(disabledBackends);
        if (disabled) {
            changed.add(backend);
        } else {
            changed.remove(backend);
        }
        return new SharedState(version, Set.copyOf(changed), outOfService);
    }

    SharedState withOutOfService(boolean isOutOfService) {
        return new SharedState(version, disabledBackends, isOutOfService);
    }

    SharedState withVersion(long newVersion) {
        return new SharedState(newVersion, disabledBackends, outOfService);
    }

    /**
     * Reads what {@link #toJson} wrote.
     *
     * @throws IOException where any of it is missing or malformed: half of it would end bans that hold
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

    String toJson() throws IOException {
        return JSON.std.asString(Map.of("version", version,
                "out", List.copyOf(new TreeSet<>(disabledBackends)), "outOfService", outOfService));
    }
}
