package passhatch.lab.discovery;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of backends with a version number and a limited history of changes. Not thread-safe. */
final class VersionedList {

    /** The changes of one version. */
    private record VersionChange(long index, List<Endpoint> endpoints) { }

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final ArrayDeque<VersionChange> history = new ArrayDeque<>();
    private final int maxHistoryVersions;
    private long index = 1;

    /**
     * Creates a list at version 1.
     *
     * @param maxHistoryVersions number of versions whose changes are kept; an older version gets the full
     *     list
     */
    VersionedList(Collection<Endpoint> initialEndpoints, int maxHistoryVersions) {
        initialEndpoints.forEach(e -> endpoints.put(e.name(), e));
        this.maxHistoryVersions = maxHistoryVersions;
    }

    /** Returns the current version. */
    long index() {
        return index;
    }

    /** Applies changes as a new version and returns them as an update. */
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

    /** Drops the changes of all versions, as after a restart. */
    void forgetHistory() {
        history.clear();
    }

    /** Returns all backends. */
    ListUpdate fullList() {
        return new ListUpdate(index, true, List.copyOf(endpoints.values()));
    }

    /**
     * Returns the latest state of each backend that changed after a version, or the full list if these
     * changes are not in the history or the version does not exist.
     */
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
