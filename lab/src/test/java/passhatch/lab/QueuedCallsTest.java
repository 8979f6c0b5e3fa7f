package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against processor time for an event that grows with the number of queued calls. */
class QueuedCallsTest {

    private static final int SAMPLES = 60;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    @ParameterizedTest
    @CsvSource({"8,true", "8,false", "300,true", "300,false"})
    void anEventWithAThousandQueuedCostsAtMostTwentyTimesOneWithTen(int servers, boolean disabled) {
        QueuedCallsBenchmark few = QueuedCallsBenchmark.create(servers, 10, disabled);
        QueuedCallsBenchmark many = QueuedCallsBenchmark.create(servers, 1_000, disabled);
        long[] fewNs = new long[SAMPLES];
        long[] manyNs = new long[SAMPLES];
        for (int i = 0; i < 2 * SAMPLES; i++) {
            fewNs[i % SAMPLES] = cpuTimeOfEventsNs(few);
            manyNs[i % SAMPLES] = cpuTimeOfEventsNs(many);
        }
        assertEquals(servers, many.inFlight());
        assertTrue(median(manyNs) <= 20 * median(fewNs), median(fewNs)
                + " ns for 100 events with 10 queued calls, with 1000: " + median(manyNs) + " ns");
    }

    private static long cpuTimeOfEventsNs(QueuedCallsBenchmark benchmark) {
        long startNs = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < 100; i++) {
            benchmark.event();
        }
        return THREADS.getCurrentThreadCpuTime() - startNs;
    }

    private static long median(long[] durationsNs) {
        long[] sorted = durationsNs.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }
}
