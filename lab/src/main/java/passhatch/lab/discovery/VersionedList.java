package passhatch.lab.discovery;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of backends with its versions, and as much of its past as is remembered. */
final class VersionedList {

    /** What one version changed. */
    private record VersionChange(long index, List<Endpoint> endpoints) { }

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final ArrayDeque<VersionChange> history = new ArrayDeque<>();
    private final int maxHistoryVersions;
    private long index = 1;

    /**
     * A list at version 1.
     *
     * @param maxHistoryVersions versions whose changes are remembered; who asks from an older one gets all
     */
    VersionedList(Collection<Endpoint> initialEndpoints, int maxHistoryVersions) {
        initialEndpoints.forEach(e -> endpoints.put(e.name(), e));
        this.maxHistoryVersions = maxHistoryVersions;
    }

    long index() {
        return index;
    }

    /** Makes a new version and returns what it changed. */
    ListUpdate change(List<Endpoint> changed) {
        index++;
        for (Endpoint endpoint : changed) {
            if (endpoint.status() == Endpoint.Status.DELETED) {
                endpoints.remove(endpoint.name());
            } else {
                endpoints.put(endpoint.name(), endpoint);
            }
        }
        history.add(new VersionChange(index, List.copyOf(changed)));
        if (history.size() > maxHistoryVersions) {
            history.remove();
        }
        return new ListUpdate(index, false, List.copyOf(changed));
    }

    /** Remembers no version but the present one, as after a restart. */
    void forgetHistory() {
        history.clear();
    }

    ListUpdate fullList() {
        return new ListUpdate(index, true, List.copyOf(endpoints.values()));
    }

    /** What changed after a version, the latest state of each; all where that is not remembered. */
    ListUpdate changesSince(long version) {
        long oldest = history.isEmpty() ? index : history.peek().index() - 1;
        if (version < oldest || version > index) {
            return fullList();
        }
        Map<String, Endpoint> latest = new LinkedHashMap<>();
        for (VersionChange change : history) {
            if (change.index() > version) {
                change.endpoints().forEach(e -> latest.put(e.name(), e));
            }
        }
        return new ListUpdate(index, false, List.copyOf(latest.values()));
    }
}
