package passhatch.lab;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import passhatch.Balancer;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.Server;
import passhatch.LeastLoadedBalancer;

/** One instance of the module whose calls are answered by hand, to see by its sends which servers it uses. */
final class ObservedInstance extends NoActions {

    /** After so long every server is warm and has had its first call. */
    private static final long SETTLED_US = Sites.RULES.coldUs() + 60_000_000;
    private static final long SERVED_IN_US = 15_000;
    private static final long GAP_US = 20_000;
    /** Refused connections in a row that make the module rest a server. */
    private static final int REFUSALS = 2;

    private final Balancer module;
    private long nowUs = 1_000_000_000_000L;
    private long requests;

    ObservedInstance(int copies, int copy, long seed, List<Server> list) {
        module = new LeastLoadedBalancer(Sites.settings(copies, copy), seed, this);
        module.serversChanged(nowUs, ListKind.CACHED, list);
    }

    long nowUs() {
        return nowUs;
    }

    Balancer module() {
        return module;
    }

    /** Tells of one changed server. */
    void change(Server server) {
        module.serversChanged(nowUs, ListKind.CHANGES, List.of(server));
    }

    /** The servers in use once what was told before has settled. */
    Set<String> settledSubset() {
        nowUs += SETTLED_US;
        module.timer(nowUs);
        return subset();
    }

    /**
     * The servers in use now: calls are kept open until a whole round of them has brought no new server. The
     * module sends each to a server that holds fewer of them than the others.
     */
    Set<String> subset() {
        Map<String, String> open = new LinkedHashMap<>();
        Set<String> seen = new LinkedHashSet<>();
        int inVain = 0;
        while (inVain <= seen.size()) {
            String id = open();
            if (server == null) {
                module.clientGone(nowUs, id);
                break;
            }
            open.put(id, server);
            inVain = seen.add(server) ? 0 : inVain + 1;
        }
        nowUs += SERVED_IN_US;
        open.forEach((id, to) -> end(id, 0, to));
        return seen;
    }

    /** Calls that come evenly, each served before the next: how many of them each server gets. */
    Map<String, Integer> evenTraffic(int calls) {
        Map<String, Integer> served = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            nowUs += GAP_US;
            String id = open();
            served.merge(server, 1, Integer::sum);
            nowUs += SERVED_IN_US;
            end(id, 0, server);
        }
        return served;
    }

    /** Refuses this server's connections until the module rests it; false where it isn't in use. */
    boolean rest(String resting) {
        Map<String, String> open = new LinkedHashMap<>();
        Set<String> again = new LinkedHashSet<>();
        int most = REFUSALS * (2 * subset().size() + 1);
        int refusals = 0;
        for (int i = 0; i < most && refusals < REFUSALS; i++) {
            String id = open();
            if (server.equals(resting)) {
                module.outcome(nowUs, id, 0, resting, Outcome.CONNECT_FAILED, 0, false, null);
                refusals++;
                again.add(id);
            }
            open.put(id, server);
        }
        nowUs += SERVED_IN_US;
        open.forEach((id, to) -> end(id, again.contains(id) ? 1 : 0, to));
        return refusals == REFUSALS;
    }

    private String open() {
        String id = Long.toString(requests++);
        server = null;
        module.request(nowUs, new Request(id, 0, 0, Sites.DEADLINE_US, 0, false));
        return id;
    }

    private void end(String id, int attempt, String to) {
        module.outcome(nowUs, id, attempt, to, Outcome.OK, SERVED_IN_US, true, null);
    }
}
