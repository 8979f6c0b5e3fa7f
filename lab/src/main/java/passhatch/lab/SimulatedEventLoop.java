package passhatch.lab;

import java.util.PriorityQueue;

/**
 * An event loop in simulated time, in microseconds. Events run in the order of their times, those of the same
 * time in the order in which they were scheduled. Not thread-safe.
 */
final class SimulatedEventLoop {

    /** An action and its time; the sequence orders events of the same time. */
    private record Event(long atUs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atUs, other.atUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long nextSequence;

    SimulatedEventLoop(long startUs) {
        nowUs = startUs;
    }

    long nowUs() {
        return nowUs;
    }

    /** Runs an action at the given time; if that has passed, right after the events that are due now. */
    void schedule(long atUs, Runnable action) {
        events.add(new Event(Math.max(atUs, nowUs), nextSequence++, action));
    }

    /** Runs all events up to and including the given time, and sets the clock to it. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event next = events.poll();
            nowUs = next.atUs();
            next.action().run();
        }
        nowUs = untilUs;
    }
}
