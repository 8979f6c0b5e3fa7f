package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** An event costs about the same however many calls are queued, in processor time. */
class QueuedCallsTest {

    private static final int ROUNDS = 60;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @ParameterizedTest
    @CsvSource({"8,true", "8,false", "300,true", "300,false"})
    void anEventWithAThousandQueuedCostsAtMostTwentyTimesOneWithTen(int servers, boolean out) {
        QueuedCallsBenchmark few = QueuedCallsBenchmark.with(servers, 10, out);
        QueuedCallsBenchmark many = QueuedCallsBenchmark.with(servers, 1_000, out);
        long[] fewNs = new long[ROUNDS];
        long[] manyNs = new long[ROUNDS];
        for (int i = 0; i < 2 * ROUNDS; i++) {
            fewNs[i % ROUNDS] = events(few);
            manyNs[i % ROUNDS] = events(many);
        }
        assertEquals(servers, many.inFlight());
        assertTrue(median(manyNs) <= 20 * median(fewNs), median(fewNs) + " and " + median(manyNs) + " ns");
    }

    private static long events(QueuedCallsBenchmark state) {
        long began = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < 100; i++) {
            state.event();
        }
        return THREADS.getCurrentThreadCpuTime() - began;
    }

    private static long median(long[] ns) {
        long[] sorted = ns.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
