package passhatch.lab.pressure;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryListener;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint;
import passhatch.lab.pressure.HttpCall.Ending;

/** A deployed proxy with its servers and discovery, which a scenario puts under pressure. */
public final class PressureRun implements Closeable {

    /** The usual limits of a proxy: memory in MB, and descriptors. */
    static final int MEMORY_MB = 192;
    static final int DESCRIPTORS = 1_024;
    private static final int SERVERS = 7;
    private static final int SOUND_REQUESTS = 100;
    private static final Duration SOUND_PERIOD = Duration.ofSeconds(6);
    private static final Duration SOUND_TIME = Duration.ofMillis(1_500);
    private static final int SOUND_BODY_BYTES = 1_000;
    private static final int WARM_UP_REQUESTS = 40;
    /** Time for the clients that hold something to connect before the first sound request. */
    private static final Duration HEAD_START = Duration.ofMillis(500);

    /** An attempt may begin so long after its client has left. */
    static final Duration LEAVE_SLACK = Duration.ofMillis(100);

    private final Map<String, Long> leftAtNs = new ConcurrentHashMap<>();
    private final PacedBackends backends;
    private final DiscoveryServer discovery;
    private final DeployedProxy.Deployment deployment;
    private final List<DeployedProxy> proxies = new CopyOnWriteArrayList<>();

    /**
     * Starts servers, discovery and a proxy, and waits until it is ready.
     *
     * @param root root directory of the project, with the service built
     * @param memoryMb limit on memory in the proxy's configuration, in MB
     * @param descriptors limit on descriptors in the proxy's configuration
     * @param servers number of servers
     */
    PressureRun(Path root, int memoryMb, int descriptors, int servers)
            throws IOException, InterruptedException {
        backends = new PacedBackends(servers);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            endpoints.add(Endpoint.serving("s-" + i, DeployedProxy.hostAndPort(backends.addresses().get(i)),
                    DeployedProxy.ZONE, DeployedProxy.MACHINE_TYPE, 0));
        }
        discovery = new DiscoveryServer(endpoints, CallCosts.NONE, false, DiscoveryListener.NONE);
        deployment = new DeployedProxy.Deployment(root.toAbsolutePath(),
                Files.createTempDirectory("pressure"), DeployedProxy.freeAddress(), discovery.address(),
                memoryMb, descriptors);
        startProxy();
    }

    /** Starts a run with the usual number of servers. */
    public PressureRun(Path root, int memoryMb, int descriptors) throws IOException, InterruptedException {
        this(root, memoryMb, descriptors, SERVERS);
    }

    /** Starts a run with the usual limit on descriptors. */
    PressureRun(Path root, int memoryMb) throws IOException, InterruptedException {
        this(root, memoryMb, DESCRIPTORS);
    }

    /** Starts a process of the proxy, beside an earlier one as in an upgrade, and waits until it is ready. */
    DeployedProxy startProxy() throws IOException, InterruptedException {
        DeployedProxy proxy = new DeployedProxy(deployment, proxies.size());
        proxies.add(proxy);
        proxy.awaitReady();
        return proxy;
    }

    /** The process that was started first. */
    DeployedProxy proxy() {
        return proxies.get(0);
    }

    PacedBackends backends() {
        return backends;
    }

    /**
     * What became of timed requests.
     *
     * @param maxLateMs how long after its client's time the latest ended, in milliseconds
     * @param ranTwice ids of requests that must not run twice and did
     * @param sentAfterClose ids that reached a server over 0.1 s after their client had left
     */
    public record Timing(String scenario, Map<Ending, Integer> endings, Map<Integer, Integer> statuses,
            long maxLateMs, List<String> ranTwice, List<String> sentAfterClose) {

        int count(Ending ending) {
            return endings.getOrDefault(ending, 0);
        }

        /** The numbers in one line. */
        public String summary() {
            return scenario + ": " + endings + " " + statuses + ", the latest " + maxLateMs
                    + " ms after its time, ran twice: " + ranTwice.size()
                    + ", sent after the close: " + sentAfterClose.size();
        }
    }

    /** Whether the name is that of a timed request, and not of clients that hold something. */
    public static boolean isTimed(String scenario) {
        return Arrays.stream(TimedRequest.values()).anyMatch(kind -> kind.name().equals(scenario));
    }

    /** Sends requests of one kind at the same time and waits for their ends. */
    public Timing time(String scenario) throws InterruptedException {
        TimedRequest kind = TimedRequest.valueOf(scenario);
        warmUp();
        Queue<HttpCall.Result> results = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < TimedRequest.REQUESTS; i++) {
            int number = i;
            threads.add(DaemonThreads.start(() -> results.add(sendTimed(kind, number))));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        Map<Ending, Integer> endings = new EnumMap<>(Ending.class);
        Map<Integer, Integer> statuses = new TreeMap<>();
        long maxLateMs = Long.MIN_VALUE;
        for (HttpCall.Result result : results) {
            endings.merge(result.ending(), 1, Integer::sum);
            statuses.merge(result.status(), 1, Integer::sum);
            maxLateMs = Math.max(maxLateMs, result.lateMs());
        }
        if (!leftAtNs.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(DeployedProxy.DEADLINE.toMillis());
        }
        Map<String, Integer> runs = new TreeMap<>();
        backends.arrivals().forEach(arrival -> runs.merge(arrival.id(), 1, Integer::sum));
        return new Timing(scenario, endings, statuses, maxLateMs,
                runs.entrySet().stream().filter(run -> run.getValue() > 1).map(Map.Entry::getKey).toList(),
                backends.arrivals().stream().filter(this::isAfterClose).map(PacedBackends.Arrival::id)
                        .toList());
    }

    /** Sends some requests, so that later ones do not wait for code that is used first. */
    void warmUp() {
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            sendSoundRequest(i);
        }
    }

    /** Notes that the client of the requests whose ids start so has closed its connection now. */
    void clientLeft(String idPrefix) {
        leftAtNs.put(idPrefix, System.nanoTime());
    }

    private boolean isAfterClose(PacedBackends.Arrival arrival) {
        return leftAtNs.entrySet().stream().anyMatch(left -> (arrival.id().equals(left.getKey())
                || left.getKey().endsWith("-") && arrival.id().startsWith(left.getKey()))
                && arrival.atNs() - left.getValue() > LEAVE_SLACK.toNanos());
    }

    private HttpCall.Result sendTimed(TimedRequest kind, int number) throws InterruptedException {
        try {
            return kind.send(this, number);
        } catch (IOException broken) {
            return new HttpCall.Result(Ending.CLOSED, 0, 0);
        }
    }

    /**
     * What became of the sound requests, and what the processes needed.
     *
     * @param alive whether no process has ended that was not told to
     * @param peakMemoryKb the most memory that all processes together had at a time, in kB
     */
    public record Report(String scenario, int clients, int sound, Map<Ending, Integer> endings,
            Map<Integer, Integer> statuses, boolean alive, long peakMemoryKb, String metrics,
            String log) {

        int count(Ending ending) {
            return endings.getOrDefault(ending, 0);
        }

        /** The numbers in one line. */
        public String summary() {
            return scenario + " x" + clients + ": " + (alive ? "alive" : "ENDED") + ", of " + sound
                    + " sound requests " + count(Ending.SERVED) + " served, " + count(Ending.NOT_SERVED)
                    + " not served, " + count(Ending.LATE) + " late, " + count(Ending.CLOSED) + " closed "
                    + statuses + ", peak memory " + peakMemoryKb + " kB";
        }
    }

    /**
     * Lets clients hold what they can while sound requests are sent.
     *
     * @param clients how many such clients there are at a time
     * @param upgrade whether a second process starts meanwhile and gets the clients that come then
     */
    public Report hold(String scenario, int clients, boolean upgrade)
            throws IOException, InterruptedException {
        HoldingClient kind = HoldingClient.valueOf(scenario);
        long endNs = System.nanoTime() + HEAD_START.plus(SOUND_PERIOD).toNanos();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            String name = "h" + i;
            threads.add(DaemonThreads.start(() -> kind.holdRepeatedly(deployment.address(), name, endNs)));
        }
        TimeUnit.MILLISECONDS.sleep(HEAD_START.toMillis());
        DeployedProxy first = proxy();
        MemorySampler sampler = new MemorySampler(proxies);
        threads.add(DaemonThreads.start(sampler::run));
        if (upgrade) {
            startProxy();
            first.signal("TERM");
        }
        Queue<HttpCall.Result> results = sendSoundRequests();
        Map<Ending, Integer> endings = new EnumMap<>(Ending.class);
        Map<Integer, Integer> statuses = new TreeMap<>();
        for (HttpCall.Result result : results) {
            endings.merge(result.ending(), 1, Integer::sum);
            statuses.merge(result.status(), 1, Integer::sum);
        }
        boolean alive = proxies.stream().allMatch(proxy -> proxy.isAlive() || upgrade && proxy == first);
        Report report = new Report(scenario, clients, SOUND_REQUESTS, endings, statuses, alive,
                sampler.peakKb(), first.metrics(), first.log());
        for (Thread thread : threads) {
            thread.interrupt();
        }
        return report;
    }

    /** Sends sound requests at a steady pace, half of them on new connections and some with a body. */
    private Queue<HttpCall.Result> sendSoundRequests() throws InterruptedException {
        Queue<HttpCall.Result> results = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SOUND_REQUESTS; i++) {
            int number = i;
            threads.add(DaemonThreads.start(() -> results.add(sendSoundRequest(number))));
            TimeUnit.MILLISECONDS.sleep(SOUND_PERIOD.toMillis() / SOUND_REQUESTS);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return results;
    }

    private HttpCall.Result sendSoundRequest(int number) {
        long sentNs = System.nanoTime();
        String id = "sound" + number;
        try (HttpCall call = new HttpCall(deployment.address(), 0)) {
            call.send(number % 2 == 0 ? HttpCall.get("/read/1", id, SOUND_TIME)
                    : HttpCall.postHead("/book/1", id, SOUND_TIME, SOUND_BODY_BYTES)
                            + "x".repeat(SOUND_BODY_BYTES));
            return call.read(sentNs, SOUND_TIME, HttpCall.RESPONSE_SLACK);
        } catch (IOException refused) {
            return new HttpCall.Result(Ending.CLOSED, 0, 0);
        }
    }

    @Override
    public void close() throws IOException {
        proxies.forEach(DeployedProxy::close);
        discovery.close();
        backends.close();
    }
}
