package passhatch.lab.control;

import io.netty.util.concurrent.EventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** CPU time of the threads of a set of event loops. */
final class EventLoopCpuTime {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final List<Long> threadIds = new ArrayList<>();

    /** Looks up the threads of the loops, waiting for each loop to run a task. */
    EventLoopCpuTime(Iterable<? extends EventExecutor> loops) {
        for (EventExecutor loop : loops) {
            threadIds.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
        }
    }

    /** Returns the CPU time of all threads so far, in nanoseconds. */
    long totalNs() {
        return threadIds.stream().mapToLong(THREADS::getThreadCpuTime).sum();
    }
}
