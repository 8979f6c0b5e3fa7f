package passhatch.lab;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * A modelled server: some cores and a queue before them, first in, first out. A process that has just started
 * works at a share of its speed, which grows evenly until it is warm.
 */
final class SimulatedServer {

    static final int CORES = 2;
    /** Requests that wait at most; more are turned away. */
    private static final int MAX_QUEUED = 200;
    /** Until a connection is seen to be refused or broken, or an error is answered. */
    private static final long FAST_RESPONSE_US = 500;

    /** How it treats requests. */
    enum State {
        WELL, REFUSES, HANGS, ERRS;

        static final List<State> FAILURES = List.of(REFUSES, HANGS, ERRS);
    }

    /** One attempt at this server; what becomes of it is told once, unless the server hangs. */
    static final class Job {
        private final long workUs;
        private final Consumer<Outcome> onOutcome;
        private boolean closed;

        private Job(long workUs, Consumer<Outcome> onOutcome) {
            this.workUs = workUs;
            this.onOutcome = onOutcome;
        }
    }

    private final SimulatedEventLoop loop;
    private final ArrayDeque<Job> running = new ArrayDeque<>();
    private final ArrayDeque<Job> queued = new ArrayDeque<>();
    private Server listEntry;
    private State state = State.WELL;
    private int peakHeld;
    private SlidingWindowCounter arrivals;

    SimulatedServer(SimulatedEventLoop loop, Server listEntry) {
        this.loop = loop;
        this.listEntry = listEntry;
    }

    /** As discovery would list it. */
    Server listEntry() {
        return listEntry;
    }

    /** From now on it treats requests so. What it holds is lost where it refuses or hangs. */
    void setState(State newState) {
        state = newState;
        if (newState == State.REFUSES) {
            running.forEach(job -> reportDelayed(job, Outcome.RESET));
            queued.forEach(job -> reportDelayed(job, Outcome.RESET));
        }
        if (newState == State.REFUSES || newState == State.HANGS) {
            running.clear();
            queued.clear();
        }
    }

    /** Its process ends. */
    void stop() {
        setState(State.REFUSES);
        listEntry = SampleDeployment.withStatus(listEntry, ServerStatus.GONE, listEntry.startedAtUs());
    }

    /** A new process starts, cold. */
    void start() {
        state = State.WELL;
        listEntry = SampleDeployment.withStatus(listEntry, ServerStatus.UP, loop.nowUs());
    }

    /** The share of its speed that it has now. */
    double relativeSpeed() {
        if (listEntry.startedAtUs() == 0) {
            return 1;
        }
        double warmUpProgress = (double) (loop.nowUs() - listEntry.startedAtUs()) / SampleDeployment.RULES
                .coldUs();
        return SampleDeployment.RULES.coldFrom() + (1 - SampleDeployment.RULES.coldFrom())
                * Math.min(1, warmUpProgress);
    }

    /** Counts attempts that reach it from now on, over any window of this length. */
    SlidingWindowCounter countArrivals(long windowUs) {
        arrivals = new SlidingWindowCounter(windowUs);
        return arrivals;
    }

    /** Most requests that it held at a time since this was last asked. */
    int takePeakHeld() {
        int peak = peakHeld;
        peakHeld = requestsHeld();
        return peak;
    }

    private int requestsHeld() {
        return running.size() + queued.size();
    }

    /** Takes an attempt that needs so much work on a warm core. */
    Job accept(long workUs, Consumer<Outcome> onOutcome) {
        Job job = new Job(workUs, onOutcome);
        if (arrivals != null && state != State.REFUSES) {
            arrivals.add(loop.nowUs());
        }
        if (state == State.REFUSES) {
            reportDelayed(job, Outcome.CONNECT_FAILED);
        } else if (state == State.ERRS) {
            reportDelayed(job, Outcome.ERROR);
        } else if (state == State.WELL) {
            if (running.size() < CORES) {
                run(job);
            } else if (queued.size() < MAX_QUEUED) {
                queued.add(job);
            } else {
                reportDelayed(job, Outcome.FULL);
            }
            peakHeld = Math.max(peakHeld, requestsHeld());
        }
        return job;
    }

    /** Nobody waits for the job any more: it leaves the queue, but runs on where it has begun. */
    void abandon(Job job) {
        job.closed = true;
        queued.remove(job);
    }

    private void run(Job job) {
        running.add(job);
        loop.schedule(loop.nowUs() + (long) (job.workUs / relativeSpeed()), () -> {
            if (running.remove(job)) {
                report(job, Outcome.OK);
                Job next = queued.poll();
                if (next != null) {
                    run(next);
                }
            }
        });
    }

    private void reportDelayed(Job job, Outcome outcome) {
        loop.schedule(loop.nowUs() + FAST_RESPONSE_US, () -> report(job, outcome));
    }

    private static void report(Job job, Outcome outcome) {
        if (!job.closed) {
            job.closed = true;
            job.onOutcome.accept(outcome);
        }
    }
}
