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
 * @param out ids of the backends taken out
 */
record SharedState(long version, Set<String> out, boolean outOfService) {

    static final SharedState NOTHING_SET = new SharedState(0, Set.of(), false);

    SharedState withOut(String backend, boolean isOut) {
        Set<String> changed = new TreeSet<>(out);
        if (isOut) {
            changed.add(backend);
        } else {
            changed.remove(backend);
        }
        return new SharedState(version, Set.copyOf(changed), outOfService);
    }

    SharedState withOutOfService(boolean isOut) {
        return new SharedState(version, out, isOut);
    }

    SharedState withVersion(long other) {
        return new SharedState(other, out, outOfService);
    }

    /**
     * Reads what {@link #json} wrote.
     *
     * @throws IOException where any of it is missing or malformed: half of it would end bans that hold
     */
    static SharedState of(String json) throws IOException {
        Map<String, Object> fields = JSON.std.mapFrom(json);
        if (fields.get("version") instanceof Number version && fields.get("out") instanceof List<?> out
                && out.stream().allMatch(String.class::isInstance)
                && fields.get("outOfService") instanceof Boolean outOfService) {
            return new SharedState(version.longValue(),
                    Set.copyOf(out.stream().map(String.class::cast).toList()), outOfService);
        }
        throw new IOException("a field is missing or malformed");
    }

    String json() throws IOException {
        return JSON.std.asString(Map.of("version", version, "out", List.copyOf(new TreeSet<>(out)),
                "outOfService", outOfService));
    }
}
