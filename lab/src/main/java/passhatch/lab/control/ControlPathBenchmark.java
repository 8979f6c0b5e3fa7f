package passhatch.lab.control;

import static passhatch.lab.control.ControlMeasurements.ScalesWith.LINES;
import static passhatch.lab.control.ControlMeasurements.ScalesWith.NOTHING;
import static passhatch.lab.control.ControlMeasurements.ScalesWith.WATCHES;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import passhatch.lab.Results;
import passhatch.lab.control.ControlPath.PhaseResult;
import passhatch.lab.discovery.CallCosts;

/**
 * Measures the control path at several sizes in turn. All runs of a size use the same fleet of simulated
 * proxies, so the spread of their values shows variation over time, not between starts.
 */
public final class ControlPathBenchmark {

    /** Planned interval between changes: one every 4.5 s is 19,000 a day. */
    private static final Duration IDLE_PERIOD = Duration.ofMillis(4_500);
    /** How long discovery is down in an outage. */
    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(8);
    /** Time-out of each phase. */
    private static final Duration MAX_WAIT = Duration.ofSeconds(40);
    private static final ControlPathSize WARM_UP_SIZE = new ControlPathSize(100, 300);
    private static final int WARM_UP_ROUNDS = 2;
    /** Both ends of each connection are in this process. */
    private static final int DESCRIPTORS_PER_WATCH = 2;
    /** Descriptors kept free for everything other than watches. */
    private static final int RESERVED_DESCRIPTORS = 200;

    private final Plan plan;
    private final Results results;
    private final Consumer<String> progress;
    /** References that clear once the memory of the previous size can be reclaimed. */
    private List<WeakReference<?>> closedReferences = List.of();

    /**
     * The parameters of a benchmark.
     *
     * @param runs number of runs of each measurement
     * @param burstSize number of backends that change at once, limited to the size of the list
     * @param costs simulated costs of calls to discovery
     * @param eventLoops number of event loops of the proxies
     * @param discoveryPushes whether proxies treat discovery as a service that pushes changes
     * @param seed random seed of the first proxy
     */
    public record Plan(int runs, int burstSize, CallCosts costs, int eventLoops, boolean discoveryPushes,
            long seed) { }

    /**
     * Creates a benchmark that writes to the given results.
     *
     * @param progress receives a line of text before each step
     */
    public ControlPathBenchmark(Plan plan, Results results, Consumer<String> progress) {
        this.plan = plan;
        this.results = results;
        this.progress = progress;
    }

    /**
     * Measures each size in turn and the slopes from each size to the next. A size that is followed by one
     * with the same number of lines is needed only for the slope per watch, so its idle phases and all faults
     * except the reset, which take seconds each, are skipped.
     */
    public void run(List<ControlPathSize> sizes) throws IOException, InterruptedException {
        warmUp();
        ControlMeasurements previous = null;
        for (int i = 0; i < sizes.size(); i++) {
            boolean slopeOnly = i + 1 < sizes.size() && sizes.get(i).lines() == sizes.get(i + 1).lines();
            ControlMeasurements measurements = measure(sizes.get(i), slopeOnly);
            if (previous != null) {
                measurements.writeSlopesTo(results, previous);
            }
            previous = measurements;
        }
    }

    /**
     * Has the hot code compiled first, so that the first size does not include the time of the JIT compiler.
     */
    private void warmUp() throws InterruptedException {
        progress.accept("warming up");
        try (ControlPath path = createPath(WARM_UP_SIZE)) {
            path.startProxies(WARM_UP_SIZE.watches(), MAX_WAIT);
            for (int i = 0; i < WARM_UP_ROUNDS; i++) {
                path.changeBackends(plan.burstSize(), MAX_WAIT);
                path.recover(WatchFault.RESET, OUTAGE_DURATION, MAX_WAIT);
                path.recover(WatchFault.OUTAGE, Duration.ZERO, MAX_WAIT);
            }
            closedReferences = path.weakReferences();
        }
    }

    private ControlPath createPath(ControlPathSize size) {
        return new ControlPath(size.lines(), plan.costs(), plan.eventLoops(), plan.discoveryPushes(),
                plan.seed());
    }

    private ControlMeasurements measure(ControlPathSize requestedSize, boolean slopeOnly) throws IOException,
            InterruptedException {
        int maxWatches = (int) Math.min(requestedSize.watches(),
                (FileDescriptors.available() - RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_WATCH);
        long emptyHeapBytes = LiveHeap.usedBytesWithout(closedReferences);
        try (ControlPath path = createPath(requestedSize)) {
            progress.accept(requestedSize + ": opening");
            PhaseResult open = path.startProxies(maxWatches, MAX_WAIT);
            ControlPathSize size = new ControlPathSize(path.openWatches(), requestedSize.lines());
            if (size.watches() < requestedSize.watches()) {
                results.note("Of " + requestedSize + ", " + size.watches() + " were open after "
                        + MAX_WAIT.toSeconds() + " s, with descriptors for " + maxWatches + ".");
            }
            ControlMeasurements measurements = new ControlMeasurements(size);
            closedReferences = path.weakReferences();
            measurements.add(LINES, "heap a proxy, with the stand-in's end of its connection", "bytes",
                    (double) (LiveHeap.usedBytes() - emptyHeapBytes) / size.watches());
            measurements.add(LINES, "whole list on the wire", "bytes", path.fullListBytes());
            addCpuTime(measurements, "first list and watch", open, size.watches());
            measureChanges(path, measurements, size, slopeOnly);
            for (WatchFault fault : slopeOnly ? List.of(WatchFault.RESET) : List.of(WatchFault.values())) {
                for (int run = 1; run <= plan.runs(); run++) {
                    progress.accept(size + ": " + fault.title() + ", run " + run);
                    addRecovery(measurements, fault.title(), path.recover(fault, OUTAGE_DURATION, MAX_WAIT),
                            size.watches());
                }
                measurements.writeTo(results);
            }
            return measurements;
        }
    }

    private void measureChanges(ControlPath path, ControlMeasurements measurements, ControlPathSize size,
            boolean slopeOnly)
            throws InterruptedException {
        for (int run = 1; run <= plan.runs(); run++) {
            progress.accept(size + (slopeOnly ? ": one change, run " : ": at rest and one change, run ")
                    + run);
            if (!slopeOnly) {
                addIdle(measurements, path.idle(IDLE_PERIOD), size.watches());
            }
            addChange(measurements, "one change", path.changeBackends(1, MAX_WAIT), 1, size.watches());
        }
        measurements.writeTo(results);
        int burstSize = Math.min(plan.burstSize(), size.lines());
        for (int run = 1; run <= plan.runs(); run++) {
            progress.accept(size + ": " + burstSize + " changes at once, run " + run);
            addChange(measurements, "burst of " + burstSize, path.changeBackends(burstSize, MAX_WAIT),
                    burstSize, size.watches());
        }
        measurements.writeTo(results);
    }

    private static void addIdle(ControlMeasurements measurements, PhaseResult phase, int watches) {
        double watchSeconds = phase.callStats().durationSeconds() * watches;
        measurements.add(NOTHING, "at rest: bytes to a watch", "B/s",
                phase.callStats().sentBytes() / watchSeconds);
        measurements.add(NOTHING, "at rest: bytes from a watch", "B/s",
                phase.callStats().receivedBytes() / watchSeconds);
        measurements.add(NOTHING, "at rest: calls a watch", "1/s",
                phase.callStats().callCount() / watchSeconds);
        measurements.add(NOTHING, "at rest: discovery's processor time a watch", "us/s",
                toMicroseconds(phase.discoveryCpuNs()) / watchSeconds);
        measurements.add(NOTHING, "at rest: proxy's processor time", "us/s",
                toMicroseconds(phase.proxiesCpuNs()) / watchSeconds);
    }

    private static void addChange(ControlMeasurements measurements, String name, PhaseResult phase,
            int changes, int watches) {
        double deliveries = (double) changes * watches;
        measurements.add(WATCHES, name + ": in force at the last proxy", "ms",
                toMilliseconds(phase.propagationTime()));
        measurements.add(NOTHING, name + ": proxies without it at the end", "", phase.unfinishedProxies());
        measurements.add(LINES, name + ": bytes a change and watch", "B",
                phase.callStats().sentBytes() / deliveries);
        measurements.add(LINES, name + ": discovery's processor time a change and watch", "us",
                toMicroseconds(phase.discoveryCpuNs()) / deliveries);
        measurements.add(LINES, name + ": proxy's processor time a change", "us",
                toMicroseconds(phase.proxiesCpuNs()) / deliveries);
    }

    private static void addRecovery(ControlMeasurements measurements, String name, PhaseResult phase,
            int watches) {
        DiscoveryCallRecorder.Interval callStats = phase.callStats();
        Histogram arrivalsUs = callStats.arrivalsUs();
        Histogram waitsUs = callStats.waitsUs();
        measurements.add(WATCHES, name + ": in force at the last proxy", "ms",
                toMilliseconds(phase.propagationTime()));
        measurements.add(NOTHING, name + ": proxies without it at the end", "", phase.unfinishedProxies());
        measurements.add(NOTHING, name + ": calls a watch", "", (double) callStats.callCount() / watches);
        measurements.add(NOTHING, name + ": calls answered 503", "", callStats.rejectedCalls());
        measurements.add(WATCHES, name + ": most calls in 0.1 s, as a rate", "1/s",
                callStats.peakCallsPerSecond());
        measurements.add(NOTHING, name + ": first call after", "ms", arrivalsUs.getMinValue() / 1e3);
        measurements.add(WATCHES, name + ": half of the calls within", "ms",
                arrivalsUs.getValueAtPercentile(50) / 1e3);
        measurements.add(WATCHES, name + ": 99 in 100 calls within", "ms",
                arrivalsUs.getValueAtPercentile(99) / 1e3);
        measurements.add(WATCHES, name + ": longest queue", "calls", callStats.maxQueueLength());
        measurements.add(WATCHES, name + ": wait of calls, median", "ms",
                waitsUs.getValueAtPercentile(50) / 1e3);
        measurements.add(WATCHES, name + ": wait of calls, 99th percentile", "ms",
                waitsUs.getValueAtPercentile(99) / 1e3);
        measurements.add(WATCHES, name + ": wait of calls, longest", "ms", waitsUs.getMaxValue() / 1e3);
        measurements.add(LINES, name + ": bytes to a watch", "B", (double) callStats.sentBytes() / watches);
        addCpuTime(measurements, name, phase, watches);
    }

    private static void addCpuTime(ControlMeasurements measurements, String name, PhaseResult phase,
            int watches) {
        measurements.add(LINES, name + ": discovery's processor time a watch", "us",
                toMicroseconds(phase.discoveryCpuNs()) / watches);
        measurements.add(LINES, name + ": proxy's processor time", "us",
                toMicroseconds(phase.proxiesCpuNs()) / watches);
    }

    private static double toMicroseconds(long nanoseconds) {
        return nanoseconds / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    private static double toMilliseconds(Duration time) {
        return time.toNanos() / (double) TimeUnit.MILLISECONDS.toNanos(1);
    }
}
