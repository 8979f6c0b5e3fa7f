package passhatch.lab;

import java.util.PriorityQueue;

/** Simulated time, in microseconds: events run in the order of their times, equal ones as they were added. */
final class SimulatedEventLoop {

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

    /** Runs something at that time; now, after what runs, if it has passed. */
    void schedule(long atUs, Runnable action) {
        events.add(new Event(Math.max(atUs, nowUs), nextSequence++, action));
    }

    /** Runs all events up to that time. */
    void runUntil(long untilUs) {
        while (!events.isEmpty() && events.peek().atUs() <= untilUs) {
            Event next = events.poll();
            nowUs = next.atUs();
            next.action().run();
        }
        nowUs = untilUs;
    }
}
