package passhatch.lab.control;

import io.netty.util.concurrent.EventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** Processor time of the threads of some event loops. */
final class EventLoopCpuTime {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final List<Long> threadIds = new ArrayList<>();

    EventLoopCpuTime(Iterable<? extends EventExecutor> loops) {
        for (EventExecutor loop : loops) {
            threadIds.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
        }
    }

    /** In all so far, nanoseconds. */
    long totalNs() {
        return threadIds.stream().mapToLong(THREADS::getThreadCpuTime).sum();
    }
}
