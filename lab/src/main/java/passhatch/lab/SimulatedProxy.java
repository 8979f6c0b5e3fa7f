package passhatch.lab;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.ListKind;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Request;
import passhatch.Balancer.Server;
import passhatch.LeastLoadedBalancer;

/**
 * A simulated replica of the proxy: the real decision module, with simulated time and servers in place of the
 * network code. Requests arrive as a Poisson process, and clients don't retry.
 */
final class SimulatedProxy implements Actions {

    /** Network delay from the proxy to a server, and the same from the server to the proxy. */
    private static final long ONE_WAY_DELAY_US = 250;

    /** A request of a client; it has ended when it was served or failed, though attempts may be in flight. */
    private static final class Call {
        private final long arrivedUs;
        private final long workUs;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean ended;
        private int inFlight;

        private Call(long arrivedUs, long workUs) {
            this.arrivedUs = arrivedUs;
            this.workUs = workUs;
        }
    }

    /** An attempt at a server; its job is null until it has reached the server. */
    private static final class Attempt {
        private final SimulatedServer server;
        private final long sentUs;
        private SimulatedServer.Job job;
        private boolean ended;

        private Attempt(SimulatedServer server, long sentUs) {
            this.server = server;
            this.sentUs = sentUs;
        }
    }

    private final SimulatedEventLoop loop;
    private final Map<String, SimulatedServer> serversById;
    private final TrafficStatistics statistics;
    private final SplittableRandom random;
    private final double meanGapUs;
    private final Balancer module;
    private final Map<String, Call> calls = new HashMap<>();
    private long nextRequestId;
    private long wakeAtUs = Long.MAX_VALUE;

    /**
     * Creates a replica that has the list of servers and receives requests from now on.
     *
     * @param meanGapUs mean time between two requests
     */
    SimulatedProxy(SimulatedFleet fleet, int replicas, int replicaIndex, SplittableRandom random,
            double meanGapUs, List<Server> serverList) {
        this.loop = fleet.loop();
        this.serversById = fleet.serversById();
        this.statistics = fleet.statistics();
        this.random = random;
        this.meanGapUs = meanGapUs;
        this.module = new LeastLoadedBalancer(SampleDeployment.settings(replicas, replicaIndex),
                random.nextLong(), this);
        module.serversChanged(loop.nowUs(), ListKind.CACHED, serverList);
        scheduleNextRequest();
    }

    private void scheduleNextRequest() {
        loop.schedule(loop.nowUs() + (long) exponential(meanGapUs), () -> {
            receiveRequest();
            scheduleNextRequest();
        });
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void receiveRequest() {
        String id = Long.toString(nextRequestId++);
        calls.put(id, new Call(loop.nowUs(), (long) exponential(SimulatedFleet.MEAN_WORK_US)));
        statistics.requestArrived(loop.nowUs());
        module.request(loop.nowUs(), new Request(id, 0, 0, SampleDeployment.DEADLINE_US, 0, false));
    }

    /** Receives a change list from discovery. */
    void serversChanged(List<Server> changes) {
        module.serversChanged(loop.nowUs(), ListKind.CHANGES, changes);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        Call call = calls.get(request);
        Attempt attempt = new Attempt(serversById.get(server), loop.nowUs());
        int attemptNumber = call.attempts.size();
        call.attempts.add(attempt);
        call.inFlight++;
        if (attemptNumber > 0) {
            statistics.extraAttemptSent(loop.nowUs());
        }
        loop.schedule(loop.nowUs() + ONE_WAY_DELAY_US, () -> {
            if (!attempt.ended) {
                attempt.job = attempt.server.accept(call.workUs,
                        outcome -> loop.schedule(loop.nowUs() + ONE_WAY_DELAY_US,
                                () -> attemptEnded(request, call, attemptNumber, outcome)));
            }
        });
        loop.schedule(loop.nowUs() + timeoutUs, () -> giveUp(request, call, attemptNumber, Outcome.TIMEOUT));
    }

    @Override
    public void cancel(String request, int attemptNumber) {
        Call call = calls.get(request);
        loop.schedule(loop.nowUs(), () -> giveUp(request, call, attemptNumber, Outcome.CANCELLED));
    }

    private void giveUp(String request, Call call, int attemptNumber, Outcome outcome) {
        Attempt attempt = call.attempts.get(attemptNumber);
        if (!attempt.ended && attempt.job != null) {
            attempt.server.abandon(attempt.job);
        }
        attemptEnded(request, call, attemptNumber, outcome);
    }

    private void attemptEnded(String request, Call call, int attemptNumber, Outcome outcome) {
        Attempt attempt = call.attempts.get(attemptNumber);
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        call.inFlight--;
        if (outcome == Outcome.OK && !call.ended) {
            call.ended = true;
            statistics.requestServed(call.arrivedUs, loop.nowUs() - call.arrivedUs);
        }
        module.outcome(loop.nowUs(), request, attemptNumber, attempt.server.listEntry().id(), outcome,
                loop.nowUs() - attempt.sentUs, call.ended, null);
        forgetIfComplete(request, call);
    }

    private void forgetIfComplete(String request, Call call) {
        if (call.ended && call.inFlight == 0) {
            calls.remove(request);
        }
    }

    @Override
    public void refuse(String request, long retryAfterUs) {
        fail(request);
    }

    @Override
    public void fail(String request) {
        Call call = calls.get(request);
        if (!call.ended) {
            call.ended = true;
            statistics.requestUnserved(call.arrivedUs);
        }
        forgetIfComplete(request, call);
    }

    @Override
    public void wakeAt(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = Math.max(atUs, loop.nowUs() + 1);
            long dueUs = wakeAtUs;
            loop.schedule(dueUs, () -> {
                if (dueUs == wakeAtUs) {
                    wakeAtUs = Long.MAX_VALUE;
                    module.timer(loop.nowUs());
                }
            });
        }
    }

    @Override
    public void probe(String server) {
        throw new IllegalStateException("the module sent a probe, which the settings do not allow");
    }

    @Override
    public void watchServers() { }

    @Override
    public void log(String text) { }
}
