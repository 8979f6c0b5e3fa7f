package passhatch.lab.control;

import io.netty.util.concurrent.EventExecutor;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;

/** Processor time of the threads of some event loops. */
final class ProcessorTime {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final List<Long> threads = new ArrayList<>();

    ProcessorTime(Iterable<? extends EventExecutor> loops) {
        for (EventExecutor loop : loops) {
            threads.add(loop.submit(() -> Thread.currentThread().getId()).syncUninterruptibly().getNow());
        }
    }

    /** In all so far, nanoseconds. */
    long ns() {
        return threads.stream().mapToLong(THREADS::getThreadCpuTime).sum();
    }
}
