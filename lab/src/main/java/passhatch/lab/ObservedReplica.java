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

/**
 * One replica whose calls are answered by this class, in place of servers. Its sends show which servers it
 * uses, its subset.
 */
final class ObservedReplica extends NoOpActions {

    /** After this time every server is warm and has received its first call. */
    private static final long SETTLING_TIME_US = SampleDeployment.RULES.coldUs() + 60_000_000;
    private static final long SERVICE_TIME_US = 15_000;
    private static final long CALL_INTERVAL_US = 20_000;
    /** Refused connections in a row after which the module ejects a server. */
    private static final int REFUSALS_UNTIL_EJECTION = 2;

    private final Balancer module;
    private long nowUs = 1_000_000_000_000L;
    private long nextRequestId;

    ObservedReplica(int replicas, int replicaIndex, long seed, List<Server> list) {
        module = new LeastLoadedBalancer(SampleDeployment.settings(replicas, replicaIndex), seed, this);
        module.serversChanged(nowUs, ListKind.CACHED, list);
    }

    long nowUs() {
        return nowUs;
    }

    Balancer module() {
        return module;
    }

    /** Passes a change list with one server to the module. */
    void serverChanged(Server server) {
        module.serversChanged(nowUs, ListKind.CHANGES, List.of(server));
    }

    /** Returns the ids of the servers in use after the effects of earlier changes have settled. */
    Set<String> settledSubset() {
        nowUs += SETTLING_TIME_US;
        module.timer(nowUs);
        return currentSubset();
    }

    /**
     * Returns the ids of the servers in use now. Opens calls, which stay in flight, until there were more
     * consecutive calls without a new server than servers seen. As the module sends each call to a server
     * with fewer calls in flight than the others, these reach every server in use.
     */
    Set<String> currentSubset() {
        Map<String, String> openCalls = new LinkedHashMap<>();
        Set<String> used = new LinkedHashSet<>();
        int callsWithoutNewServer = 0;
        while (callsWithoutNewServer <= used.size()) {
            String id = openCall();
            if (lastServer == null) {
                module.clientGone(nowUs, id);
                break;
            }
            openCalls.put(id, lastServer);
            callsWithoutNewServer = used.add(lastServer) ? 0 : callsWithoutNewServer + 1;
        }
        nowUs += SERVICE_TIME_US;
        openCalls.forEach((id, to) -> endCall(id, 0, to));
        return used;
    }

    /** Sends calls at equal intervals, each served before the next, and counts them by server id. */
    Map<String, Integer> sendEvenTraffic(int calls) {
        Map<String, Integer> callsByServer = new HashMap<>();
        for (int i = 0; i < calls; i++) {
            nowUs += CALL_INTERVAL_US;
            String id = openCall();
            callsByServer.merge(lastServer, 1, Integer::sum);
            nowUs += SERVICE_TIME_US;
            endCall(id, 0, lastServer);
        }
        return callsByServer;
    }

    /**
     * Refuses connections to the server until the module ejects it.
     *
     * @return false if the replica does not use the server, which is not ejected then
     */
    boolean eject(String serverId) {
        Map<String, String> openCalls = new LinkedHashMap<>();
        Set<String> retried = new LinkedHashSet<>();
        int maxCalls = REFUSALS_UNTIL_EJECTION * (2 * currentSubset().size() + 1);
        int refusals = 0;
        for (int i = 0; i < maxCalls && refusals < REFUSALS_UNTIL_EJECTION; i++) {
            String id = openCall();
            if (lastServer.equals(serverId)) {
                module.outcome(nowUs, id, 0, serverId, Outcome.CONNECT_FAILED, 0, false, null);
                refusals++;
                retried.add(id);
            }
            openCalls.put(id, lastServer);
        }
        nowUs += SERVICE_TIME_US;
        openCalls.forEach((id, to) -> endCall(id, retried.contains(id) ? 1 : 0, to));
        return refusals == REFUSALS_UNTIL_EJECTION;
    }

    private String openCall() {
        String id = Long.toString(nextRequestId++);
        lastServer = null;
        module.request(nowUs, new Request(id, 0, 0, SampleDeployment.DEADLINE_US, 0, false));
        return id;
    }

    private void endCall(String id, int attempt, String serverId) {
        module.outcome(nowUs, id, attempt, serverId, Outcome.OK, SERVICE_TIME_US, true, null);
    }
}
