package passhatch.lab;

import java.util.ArrayDeque;
import java.util.List;
import java.util.function.Consumer;
import passhatch.Balancer.Outcome;
import passhatch.Balancer.Server;
import passhatch.Balancer.ServerStatus;

/**
 * A simulated server with {@link #CORES} cores and one first-in, first-out queue. A process that has just
 * started works at a share of its full speed, which grows linearly until the process is warm.
 */
final class SimulatedServer {

    static final int CORES = 2;
    /** Most requests in the queue; further ones are rejected. */
    private static final int MAX_QUEUED = 200;
    /** Time until the proxy sees a refused or reset connection, an error response or a rejection. */
    private static final long FAST_RESPONSE_US = 500;

    /**
     * How the server treats requests: it serves them, refuses connections, accepts requests without ever
     * responding, or responds with an error at once. The constants name rows of the table of
     * {@code lab fleet}.
     */
    enum State {
        WELL, REFUSES, HANGS, ERRS;

        static final List<State> FAILURES = List.of(REFUSES, HANGS, ERRS);
    }

    /**
     * One attempt at this server. Its outcome is reported once, or never if it is abandoned or the server
     * hangs.
     */
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
    private int peakRequests;
    private SlidingWindowCounter arrivals;

    SimulatedServer(SimulatedEventLoop loop, Server listEntry) {
        this.loop = loop;
        this.listEntry = listEntry;
    }

    /** The current entry of this server in the lists of discovery. */
    Server listEntry() {
        return listEntry;
    }

    /**
     * Changes how the server treats requests. Where it refuses connections, the attempts that it holds end
     * with {@link Outcome#RESET}; where it hangs, they never end.
     */
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

    /** Ends the process of the server. */
    void stop() {
        setState(State.REFUSES);
        listEntry = SampleDeployment.withStatus(listEntry, ServerStatus.GONE, listEntry.startedAtUs());
    }

    /** Starts a new process, which is cold. */
    void start() {
        state = State.WELL;
        listEntry = SampleDeployment.withStatus(listEntry, ServerStatus.UP, loop.nowUs());
    }

    /** The current speed as a share of the full speed, at most 1. */
    double relativeSpeed() {
        if (listEntry.startedAtUs() == 0) {
            return 1;
        }
        double warmUpProgress = (double) (loop.nowUs() - listEntry.startedAtUs()) / SampleDeployment.RULES
                .coldUs();
        return SampleDeployment.RULES.coldFrom() + (1 - SampleDeployment.RULES.coldFrom())
                * Math.min(1, warmUpProgress);
    }

    /** Starts to count the attempts that reach the server, for windows of this length. */
    SlidingWindowCounter countArrivals(long windowUs) {
        arrivals = new SlidingWindowCounter(windowUs);
        return arrivals;
    }

    /** Returns the most requests that the server held at a time since the last call. */
    int takePeakRequests() {
        int peak = peakRequests;
        peakRequests = currentRequests();
        return peak;
    }

    private int currentRequests() {
        return running.size() + queued.size();
    }

    /**
     * Receives an attempt.
     *
     * @param workUs time that the attempt needs on a core of a warm server
     * @param onOutcome receives the outcome, see {@link Job}
     */
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
            peakRequests = Math.max(peakRequests, currentRequests());
        }
        return job;
    }

    /**
     * Removes a job from the queue and reports no outcome of it; a job that is running keeps its core busy.
     */
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
