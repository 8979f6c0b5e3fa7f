package passhatch.lab.discovery;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The list of backends with its versions, and as much of its past as is remembered. */
final class VersionedList {

    /** What one version changed. */
    private record Change(long index, List<Endpoint> endpoints) { }

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final ArrayDeque<Change> history = new ArrayDeque<>();
    private final int versionsKept;
    private long index = 1;

    /**
     * A list at version 1.
     *
     * @param versionsKept versions whose changes are remembered; who asks from an older one gets all
     */
    VersionedList(Collection<Endpoint> first, int versionsKept) {
        first.forEach(e -> endpoints.put(e.name(), e));
        this.versionsKept = versionsKept;
    }

    long index() {
        return index;
    }

    /** Makes a new version and returns what it changed. */
    Update change(List<Endpoint> changed) {
        index++;
        for (Endpoint e : changed) {
            if (e.status() == Endpoint.Status.DELETED) {
                endpoints.remove(e.name());
            } else {
                endpoints.put(e.name(), e);
            }
        }
        history.add(new Change(index, List.copyOf(changed)));
        if (history.size() > versionsKept) {
            history.remove();
        }
        return new Update(index, false, List.copyOf(changed));
    }

    /** Remembers no version but the present one, as after a restart. */
    void forgetHistory() {
        history.clear();
    }

    Update whole() {
        return new Update(index, true, List.copyOf(endpoints.values()));
    }

    /** What changed after a version, the latest state of each; all where that is not remembered. */
    Update since(long from) {
        long oldest = history.isEmpty() ? index : history.peek().index() - 1;
        if (from < oldest || from > index) {
            return whole();
        }
        Map<String, Endpoint> latest = new LinkedHashMap<>();
        for (Change change : history) {
            if (change.index() > from) {
                change.endpoints().forEach(e -> latest.put(e.name(), e));
            }
        }
        return new Update(index, false, List.copyOf(latest.values()));
    }
}
