package passhatch.proxy;

import java.util.List;
import passhatch.Balancer;

/**
 * A decision module that delegates to another and notifies an observer of each list that has been applied.
 */
final class ObservedBalancer implements Balancer {

    private final Balancer balancer;
    private final WatchingProxy.Observer observer;

    ObservedBalancer(Balancer balancer, WatchingProxy.Observer observer) {
        this.balancer = balancer;
        this.observer = observer;
    }

    @Override
    public void serversChanged(long nowUs, ListKind kind, List<Server> servers) {
        balancer.serversChanged(nowUs, kind, servers);
        observer.listApplied(kind, servers);
    }

    @Override
    public void discoveryFailed(long nowUs, DiscoveryFailure failure) {
        balancer.discoveryFailed(nowUs, failure);
    }

    @Override
    public void request(long nowUs, Request request) {
        balancer.request(nowUs, request);
    }

    @Override
    public void requestComplete(long nowUs, String request, long timeLeftUs) {
        balancer.requestComplete(nowUs, request, timeLeftUs);
    }

    @Override
    public void bodyDiscarded(long nowUs, String request) {
        balancer.bodyDiscarded(nowUs, request);
    }

    @Override
    public void outcome(long nowUs, String request, int attempt, String server, Outcome outcome,
            long elapsedUs, boolean ended, LoadReport report) {
        balancer.outcome(nowUs, request, attempt, server, outcome, elapsedUs, ended, report);
    }

    @Override
    public void streamStarted(long nowUs, String request, int attempt, String server, long elapsedUs) {
        balancer.streamStarted(nowUs, request, attempt, server, elapsedUs);
    }

    @Override
    public void clientGone(long nowUs, String request) {
        balancer.clientGone(nowUs, request);
    }

    @Override
    public void probeResult(long nowUs, String server, Outcome outcome, long elapsedUs, LoadReport report) {
        balancer.probeResult(nowUs, server, outcome, elapsedUs, report);
    }

    @Override
    public void timer(long nowUs) {
        balancer.timer(nowUs);
    }

    @Override
    public boolean knows(String server) {
        return balancer.knows(server);
    }

    @Override
    public void disable(long nowUs, String server) {
        balancer.disable(nowUs, server);
    }

    @Override
    public void enable(long nowUs, String server) {
        balancer.enable(nowUs, server);
    }

    @Override
    public boolean isDisabled(String server) {
        return balancer.isDisabled(server);
    }

    @Override
    public boolean maySend(long nowUs, String request, int attempt) {
        return balancer.maySend(nowUs, request, attempt);
    }

    @Override
    public ServerCounts serverCounts(long nowUs) {
        return balancer.serverCounts(nowUs);
    }
}
