package passhatch.lab.latency;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import passhatch.lab.DeployFile;
import passhatch.lab.Results;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryListener;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint;

/**
 * Measures the latency that a proxy in its own process adds to a call. Each run sends the same load directly
 * to a backend and, at the same time, through the proxy.
 */
public final class LatencyBenchmark implements Closeable {

    private static final int BACKENDS = 10;
    /** Connections of each load, well below the proxy's limit of sockets. */
    private static final int MAX_CONNECTIONS = 256;
    /** How long a load waits for responses after its last request. */
    private static final Duration RESPONSE_GRACE = Duration.ofSeconds(6);
    private static final Duration WARM_UP_TIME = Duration.ofSeconds(4);
    private static final double WARM_UP_PER_SECOND = 400;
    private static final Duration RAMP_STEP_TIME = Duration.ofMillis(1_500);
    private static final double FIRST_RAMP_PER_SECOND = 500;
    private static final double RAMP_GROWTH = 1.5;
    private static final int MAX_RAMP_STEPS = 10;
    /**
     * Part of the planned requests that must be served at a sustained rate, with a latency within
     * {@link #MAX_P99_MS}.
     */
    private static final double MIN_SERVED_RATIO = 0.99;
    /** Highest 99th percentile of the latency at a sustained rate, in milliseconds. */
    private static final double MAX_P99_MS = 100;
    /** The ramp ends when the proxy uses this part of its core. */
    private static final double FULL_CORE_UTILIZATION = 0.95;

    private final Results results;
    private final Consumer<String> progress;
    private final CoreAssignment cores;
    private final BackendProcess backends;
    private final DiscoveryServer discovery;
    private final ProxyProcess proxy;
    private final OpenLoopLoad directLoad;
    private final OpenLoopLoad proxyLoad;

    /**
     * The capacity of the proxy.
     *
     * @param requestsPerCpuSecond requests per second of CPU time at the highest sustained rate
     * @param sustainedPerSecond the highest sustained rate, in requests per second
     */
    private record Capacity(double requestsPerCpuSecond, double sustainedPerSecond) { }

    /**
     * The result of one load through the proxy, its duration, and the CPU time of the proxy, both in seconds.
     */
    private record LoadStep(LoadResult result, double seconds, double cpuSeconds) {
        /** Whether the proxy kept up with the load. */
        boolean isSustained() {
            return result.served() >= MIN_SERVED_RATIO * result.planned()
                    && result.latencyUs().getValueAtPercentile(99) / 1e3 <= MAX_P99_MS;
        }

        /** The part of its core that the proxy used. */
        double coreUtilization() {
            return cpuSeconds / seconds;
        }
    }

    /**
     * Starts the proxy, its backends and a stand-in for discovery.
     *
     * @param root root directory of the project, with the service built
     * @param progress receives a line of text before each step
     */
    public LatencyBenchmark(Path root, Results results, Consumer<String> progress)
            throws IOException, InterruptedException {
        this.results = results;
        this.progress = progress;
        cores = CoreAssignment.detect();
        cores.pinLoad();
        progress.accept("starting the proxy; " + cores);
        backends = new BackendProcess(BACKENDS, cores);
        List<Endpoint> endpoints = new ArrayList<>();
        for (InetSocketAddress address : backends.addresses()) {
            endpoints.add(Endpoint.serving("s-" + address.getPort(), "127.0.0.1:" + address.getPort(),
                    ProxyProcess.ZONE,
                    ProxyProcess.MACHINE_TYPE, 0));
        }
        discovery = new DiscoveryServer(endpoints, CallCosts.NONE, false, DiscoveryListener.NONE);
        proxy = new ProxyProcess(root, cores, discovery.address());
        directLoad = new OpenLoopLoad(backends.addresses().get(0), MAX_CONNECTIONS, 1);
        proxyLoad = new OpenLoopLoad(proxy.address(), MAX_CONNECTIONS, 2);
        boolean hasClassArchive = Files.exists(root.resolve("target/passhatch.jsa"));
        results.note("The proxy was started with: `" + DeployFile.runCommand(root) + "`; the class archive "
                + (hasClassArchive ? "was" : "was not") + " there.");
        results.note("Latency of calls. Cores: " + cores + ". Calls are GET without a body; " + BACKENDS
                + " backends in one process answer at once.");
        results.note("Arrivals are planned ahead at even distances; latency counts from the planned time. "
                + "What is added is the difference of the two percentiles, not a percentile of differences.");
    }

    /**
     * Finds the capacity of one core of the proxy, then measures at one third and two thirds of it.
     *
     * @param runs number of runs at each rate
     * @param duration length of each run
     */
    public void run(int runs, Duration duration) throws InterruptedException {
        progress.accept("warming up");
        measure(new LatencyMeasurements(), WARM_UP_PER_SECOND, WARM_UP_TIME);
        Capacity capacity = findCapacity();
        for (int thirds = 1; thirds <= 2; thirds++) {
            double perSecond = Math.min(capacity.requestsPerCpuSecond() * thirds / 3,
                    capacity.sustainedPerSecond());
            LatencyMeasurements measurements = new LatencyMeasurements();
            for (int run = 1; run <= runs; run++) {
                progress.accept(String.format("%d/3 of capacity: %.0f a second, run %d", thirds, perSecond,
                        run));
                measure(measurements, perSecond, duration);
            }
            measurements.writeTo(results, thirds + "/3, " + Math.round(perSecond) + "/s");
        }
    }

    /**
     * Raises the rate step by step while the proxy keeps up with it, and writes the capacity to the results.
     */
    private Capacity findCapacity() throws InterruptedException {
        LoadStep sustained = null;
        String stopReason = "the ramp's last step";
        double perSecond = FIRST_RAMP_PER_SECOND;
        for (int i = 0; i < MAX_RAMP_STEPS; i++, perSecond *= RAMP_GROWTH) {
            LoadStep step = runRampStep(perSecond);
            if (!step.isSustained()) {
                // Another process on the machine may have slowed the proxy, so the step is repeated once.
                step = runRampStep(perSecond);
            }
            if (!step.isSustained()) {
                stopReason = String.format(
                        "%.0f a second, of which %.3f were served, 99 in 100 within %.1f ms, "
                        + "the load itself %.1f ms late at the 99th percentile", perSecond,
                        (double) step.result().served() / step.result().planned(),
                        step.result().latencyUs().getValueAtPercentile(99) / 1e3,
                        step.result().sendDelayUs().getValueAtPercentile(99) / 1e3);
                sustained = sustained == null ? step : sustained;
                break;
            }
            sustained = step;
            if (step.coreUtilization() >= FULL_CORE_UTILIZATION) {
                stopReason = "a full core";
                break;
            }
        }
        Capacity capacity = new Capacity(sustained.result().served() / sustained.cpuSeconds(),
                sustained.result().served() / sustained.seconds());
        results.add("requests for a second of the proxy's processor time", "ramp", "1/s",
                capacity.requestsPerCpuSecond());
        results.add("highest rate kept up with", "ramp", "1/s", capacity.sustainedPerSecond());
        results.add("share of the proxy's core that this took", "ramp", "", sustained.coreUtilization());
        results.note("The ramp, each step tried twice at most, ended at " + stopReason
                + ". Capacity is taken from "
                + "the processor time of the last step kept up with, or of the first; loads are never above "
                + "its rate.");
        return capacity;
    }

    private LoadStep runRampStep(double perSecond) throws InterruptedException {
        LoadStep step = runThroughProxy(perSecond, RAMP_STEP_TIME);
        progress.accept(String.format("ramp: %.0f a second, proxy's core busy %.2f, %s", perSecond,
                step.coreUtilization(),
                step.isSustained() ? "kept up" : "not kept up"));
        return step;
    }

    private LoadStep runThroughProxy(double perSecond, Duration duration) throws InterruptedException {
        long startNs = System.nanoTime();
        Duration cpuTimeBefore = proxy.cpuTime();
        LoadResult result = proxyLoad.run(perSecond, duration, RESPONSE_GRACE);
        return new LoadStep(result, (System.nanoTime() - startNs) / 1e9,
                proxy.cpuTime().minus(cpuTimeBefore).toNanos() / 1e9);
    }

    private void measure(LatencyMeasurements measurements, double perSecond, Duration duration)
            throws InterruptedException {
        CompletableFuture<LoadResult> directRun = CompletableFuture.supplyAsync(() -> {
            try {
                return directLoad.run(perSecond, duration, RESPONSE_GRACE);
            } catch (InterruptedException e) {
                throw new CompletionException(e);
            }
        });
        LoadStep step = runThroughProxy(perSecond, duration);
        LoadResult directResult = directRun.join();
        LoadResult proxyResult = step.result();
        measurements.add("processor time of the proxy a request", "us",
                step.cpuSeconds() * 1e6 / Math.max(1, proxyResult.served()));
        measurements.add("share of the proxy's core", "", step.coreUtilization());
        for (double percentile : new double[] {50, 99}) {
            String name = Math.round(percentile) + "th percentile";
            double throughProxyUs = proxyResult.latencyUs().getValueAtPercentile(percentile);
            double directUs = directResult.latencyUs().getValueAtPercentile(percentile);
            measurements.add("latency, " + name + ", directly", "us", directUs);
            measurements.add("latency, " + name + ", through the proxy", "us", throughProxyUs);
            measurements.add("latency, " + name + ", added", "us", throughProxyUs - directUs);
        }
        measurements.add("requests planned", "", proxyResult.planned());
        measurements.add("requests sent through the proxy", "", proxyResult.sent());
        measurements.add("requests not served through the proxy", "",
                proxyResult.planned() - proxyResult.served());
        measurements.add("requests not served directly", "", directResult.planned() - directResult.served());
        measurements.add("load late at the 99th percentile", "us",
                proxyResult.sendDelayUs().getValueAtPercentile(99));
    }

    @Override
    public void close() throws IOException {
        proxyLoad.close();
        directLoad.close();
        proxy.close();
        discovery.close();
        backends.close();
        cores.unpinLoad();
    }
}
