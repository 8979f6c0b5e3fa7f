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
    private static final int QUEUE = 200;
    /** Until a connection is seen to be refused or broken, or an error is answered. */
    private static final long FAST_US = 500;

    /** How it treats requests. */
    enum State {
        WELL, REFUSES, HANGS, ERRS;

        static final List<State> FAILURES = List.of(REFUSES, HANGS, ERRS);
    }

    /** One attempt at this server; what becomes of it is told once, unless the server hangs. */
    static final class Job {
        private final long workUs;
        private final Consumer<Outcome> told;
        private boolean over;

        private Job(long workUs, Consumer<Outcome> told) {
            this.workUs = workUs;
            this.told = told;
        }
    }

    private final EventLoop loop;
    private final ArrayDeque<Job> running = new ArrayDeque<>();
    private final ArrayDeque<Job> waiting = new ArrayDeque<>();
    private Server listed;
    private State state = State.WELL;
    private int mostHeld;
    private SlidingCount arrivals;

    SimulatedServer(EventLoop loop, Server listed) {
        this.loop = loop;
        this.listed = listed;
    }

    /** As discovery would list it. */
    Server listed() {
        return listed;
    }

    /** From now on it treats requests so. What it holds is lost where it refuses or hangs. */
    void turn(State to) {
        state = to;
        if (to == State.REFUSES) {
            running.forEach(job -> tellSoon(job, Outcome.RESET));
            waiting.forEach(job -> tellSoon(job, Outcome.RESET));
        }
        if (to == State.REFUSES || to == State.HANGS) {
            running.clear();
            waiting.clear();
        }
    }

    /** Its process ends. */
    void stop() {
        turn(State.REFUSES);
        listed = Sites.with(listed, ServerStatus.GONE, listed.startedAtUs());
    }

    /** A new process starts, cold. */
    void start() {
        state = State.WELL;
        listed = Sites.with(listed, ServerStatus.UP, loop.nowUs());
    }

    /** The share of its speed that it has now. */
    double warmth() {
        if (listed.startedAtUs() == 0) {
            return 1;
        }
        double age = (double) (loop.nowUs() - listed.startedAtUs()) / Sites.RULES.coldUs();
        return Sites.RULES.coldFrom() + (1 - Sites.RULES.coldFrom()) * Math.min(1, age);
    }

    /** Counts attempts that reach it from now on, over any window of this length. */
    SlidingCount countArrivals(long windowUs) {
        arrivals = new SlidingCount(windowUs);
        return arrivals;
    }

    /** Most requests that it held at a time since this was last asked. */
    int takeMostHeld() {
        int most = mostHeld;
        mostHeld = held();
        return most;
    }

    private int held() {
        return running.size() + waiting.size();
    }

    /** Takes an attempt that needs so much work on a warm core. */
    Job take(long workUs, Consumer<Outcome> told) {
        Job job = new Job(workUs, told);
        if (arrivals != null && state != State.REFUSES) {
            arrivals.add(loop.nowUs());
        }
        if (state == State.REFUSES) {
            tellSoon(job, Outcome.CONNECT_FAILED);
        } else if (state == State.ERRS) {
            tellSoon(job, Outcome.ERROR);
        } else if (state == State.WELL) {
            if (running.size() < CORES) {
                run(job);
            } else if (waiting.size() < QUEUE) {
                waiting.add(job);
            } else {
                tellSoon(job, Outcome.FULL);
            }
            mostHeld = Math.max(mostHeld, held());
        }
        return job;
    }

    /** Nobody waits for the job any more: it leaves the queue, but runs on where it has begun. */
    void drop(Job job) {
        job.over = true;
        waiting.remove(job);
    }

    private void run(Job job) {
        running.add(job);
        loop.at(loop.nowUs() + (long) (job.workUs / warmth()), () -> {
            if (running.remove(job)) {
                tell(job, Outcome.OK);
                Job next = waiting.poll();
                if (next != null) {
                    run(next);
                }
            }
        });
    }

    private void tellSoon(Job job, Outcome outcome) {
        loop.at(loop.nowUs() + FAST_US, () -> tell(job, outcome));
    }

    private static void tell(Job job, Outcome outcome) {
        if (!job.over) {
            job.over = true;
            job.told.accept(outcome);
        }
    }
}
