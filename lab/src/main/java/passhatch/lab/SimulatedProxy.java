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
 * A simulated (in-process) instance: the real module, with simulated time and servers in place of the network
 * code. Its clients come by themselves, as a Poisson process, and try once.
 */
final class SimulatedProxy implements Actions {

    /** From the proxy to a server, and back. */
    private static final long HOP_US = 250;

    private static final class Call {
        private final long arrivedUs;
        private final long workUs;
        private final List<Attempt> attempts = new ArrayList<>(2);
        private boolean ended;
        private int out;

        private Call(long arrivedUs, long workUs) {
            this.arrivedUs = arrivedUs;
            this.workUs = workUs;
        }
    }

    private static final class Attempt {
        private final SimulatedServer server;
        private final long sentUs;
        private SimulatedServer.Job job;
        private boolean over;

        private Attempt(SimulatedServer server, long sentUs) {
            this.server = server;
            this.sentUs = sentUs;
        }
    }

    private final EventLoop loop;
    private final Map<String, SimulatedServer> servers;
    private final Seconds seconds;
    private final SplittableRandom random;
    private final double meanGapUs;
    private final Balancer module;
    private final Map<String, Call> calls = new HashMap<>();
    private long requests;
    private long wakeAtUs = Long.MAX_VALUE;

    /**
     * An instance that knows the list and gets requests from now on.
     *
     * @param meanGapUs between two requests, on average
     */
    SimulatedProxy(Fleet fleet, int copies, int copy, SplittableRandom random, double meanGapUs,
            List<Server> list) {
        this.loop = fleet.loop();
        this.servers = fleet.byId();
        this.seconds = fleet.seconds();
        this.random = random;
        this.meanGapUs = meanGapUs;
        this.module = new LeastLoadedBalancer(Sites.settings(copies, copy), random.nextLong(), this);
        module.serversChanged(loop.nowUs(), ListKind.CACHED, list);
        expectRequest();
    }

    private void expectRequest() {
        loop.at(loop.nowUs() + (long) exponential(meanGapUs), () -> {
            arrive();
            expectRequest();
        });
    }

    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    private void arrive() {
        String id = Long.toString(requests++);
        calls.put(id, new Call(loop.nowUs(), (long) exponential(Fleet.MEAN_WORK_US)));
        seconds.arrived(loop.nowUs());
        module.request(loop.nowUs(), new Request(id, 0, 0, Sites.DEADLINE_US, 0, false));
    }

    /** Discovery's word on some servers. */
    void changed(List<Server> changes) {
        module.serversChanged(loop.nowUs(), ListKind.CHANGES, changes);
    }

    @Override
    public void send(String request, String server, long timeoutUs) {
        Call call = calls.get(request);
        Attempt attempt = new Attempt(servers.get(server), loop.nowUs());
        int number = call.attempts.size();
        call.attempts.add(attempt);
        call.out++;
        if (number > 0) {
            seconds.sentAgain(loop.nowUs());
        }
        loop.at(loop.nowUs() + HOP_US, () -> {
            if (!attempt.over) {
                attempt.job = attempt.server.take(call.workUs, outcome -> loop.at(loop.nowUs() + HOP_US,
                        () -> ended(request, call, number, outcome)));
            }
        });
        loop.at(loop.nowUs() + timeoutUs, () -> giveUp(request, call, number, Outcome.TIMEOUT));
    }

    @Override
    public void cancel(String request, int number) {
        Call call = calls.get(request);
        loop.at(loop.nowUs(), () -> giveUp(request, call, number, Outcome.CANCELLED));
    }

    private void giveUp(String request, Call call, int number, Outcome outcome) {
        Attempt attempt = call.attempts.get(number);
        if (!attempt.over && attempt.job != null) {
            attempt.server.drop(attempt.job);
        }
        ended(request, call, number, outcome);
    }

    private void ended(String request, Call call, int number, Outcome outcome) {
        Attempt attempt = call.attempts.get(number);
        if (attempt.over) {
            return;
        }
        attempt.over = true;
        call.out--;
        if (outcome == Outcome.OK && !call.ended) {
            call.ended = true;
            seconds.served(call.arrivedUs, loop.nowUs() - call.arrivedUs);
        }
        module.outcome(loop.nowUs(), request, number, attempt.server.listed().id(), outcome,
                loop.nowUs() - attempt.sentUs, call.ended, null);
        forget(request, call);
    }

    private void forget(String request, Call call) {
        if (call.ended && call.out == 0) {
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
            seconds.unserved(call.arrivedUs);
        }
        forget(request, call);
    }

    @Override
    public void wakeAt(long atUs) {
        if (atUs < wakeAtUs) {
            wakeAtUs = Math.max(atUs, loop.nowUs() + 1);
            long due = wakeAtUs;
            loop.at(due, () -> {
                if (due == wakeAtUs) {
                    wakeAtUs = Long.MAX_VALUE;
                    module.timer(loop.nowUs());
                }
            });
        }
    }

    @Override
    public void probe(String server) {
        throw new IllegalStateException("probes are not allowed here");
    }

    @Override
    public void watchServers() { }

    @Override
    public void log(String text) { }
}
