package passhatch.lab.pressure;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import passhatch.lab.pressure.LeavingClients.Behind;
import passhatch.lab.pressure.LeavingClients.Leaving;
import passhatch.lab.pressure.LeavingClients.Plan;

/** Lets clients of a deployed proxy leave before their responses, and counts the attempts that begin then. */
public final class LeavingRun {

    private static final int SERVERS = 12;
    private static final Duration SIGNAL_DELAY = Duration.ofMillis(100);

    /** What happens to the processes of the proxy meanwhile. */
    public enum Event {
        /** Nothing. */
        NONE,
        /** A second process accepts beside the first one, which gets SIGTERM 0.1 s after the first client. */
        UPGRADE,
        /** The process is stopped 0.1 s after the first client, for 0.3 s. */
        STOP
    }

    private static final Duration STOP_TIME = Duration.ofMillis(300);

    /**
     * What the servers saw.
     *
     * @param attempts attempts at requests of clients that left
     * @param begun sound requests with an attempt in time
     * @param sound sound requests
     * @param late attempts that began over 0.1 s after the close
     * @param worstMs how long after the close the last of these began, in milliseconds; 0 if none did
     * @param statuses statuses that clients got which stayed
     * @param metrics the metrics of the first process, one per line
     * @param log the log of the first process
     */
    public record Report(String name, int attempts, int begun, int sound, int late, long worstMs,
            Map<Integer, Integer> statuses, String metrics, String log) {

        /** The numbers in one line. */
        public String summary() {
            return name + ": " + late + " of " + attempts + " attempts late, the worst " + worstMs + " ms; "
                    + begun + " of " + sound + " sound requests begun"
                    + (statuses.isEmpty() ? "" : ", answered " + statuses);
        }
    }

    private LeavingRun() { }

    /**
     * Runs clients of one kind against a proxy that is started for them.
     *
     * @param root root directory of the project, with the service built
     * @param behind what is sent behind the sound requests, a name of {@link Behind}
     * @param uploads whether the sound requests have bodies of 60 kB
     * @param requestsPerWrite how many of the requests that follow are given to the socket at a time
     * @param leaving how the clients leave, a name of {@link Leaving}
     */
    public static Report play(Path root, int clients, int requests, String behind, boolean uploads,
            int requestsPerWrite, String leaving, Event event) throws IOException, InterruptedException {
        Plan plan = new Plan(clients, requests, uploads, Behind.valueOf(behind), requestsPerWrite,
                Leaving.valueOf(leaving));
        return play(root, plan, event);
    }

    static Report play(Path root, Plan plan, Event event) throws IOException, InterruptedException {
        try (PressureRun run =
                new PressureRun(root, PressureRun.MEMORY_MB, PressureRun.DESCRIPTORS, SERVERS)) {
            run.warmUp();
            LeavingClients clients = new LeavingClients(plan, run.proxy());
            if (event == Event.UPGRADE) {
                run.startProxy();
            }
            DaemonThreads.start(() -> {
                TimeUnit.MILLISECONDS.sleep(SIGNAL_DELAY.toMillis());
                signal(run.proxy(), event);
            });
            clients.start();
            TimeUnit.MILLISECONDS.sleep(DeployedProxy.DEADLINE.plus(PressureRun.LEAVE_SLACK).toMillis());
            return report(plan, event, run, clients);
        }
    }

    private static void signal(DeployedProxy proxy, Event event) throws IOException, InterruptedException {
        if (event == Event.UPGRADE) {
            proxy.signal("TERM");
        } else if (event == Event.STOP) {
            proxy.signal("STOP");
            TimeUnit.MILLISECONDS.sleep(STOP_TIME.toMillis());
            proxy.signal("CONT");
        }
    }

    private static Report report(Plan plan, Event event, PressureRun run, LeavingClients clients)
            throws IOException, InterruptedException {
        long slackNs = PressureRun.LEAVE_SLACK.toNanos();
        List<PacedBackends.Arrival> attempts = run.backends().arrivals().stream()
                .filter(arrival -> clients.afterCloseNs(arrival) != Long.MIN_VALUE).toList();
        List<Long> lateNs = attempts.stream().map(clients::afterCloseNs).filter(ns -> ns > slackNs)
                .toList();
        long worstNs = lateNs.stream().mapToLong(Long::longValue).max().orElse(0);
        long begun = attempts.stream().filter(arrival -> clients.afterCloseNs(arrival) <= slackNs)
                .map(PacedBackends.Arrival::id).filter(id -> id.contains("-sound"))
                .distinct().count();
        return new Report(plan + " " + event, attempts.size(), (int) begun, plan.clients() * plan.requests(),
                lateNs.size(), TimeUnit.NANOSECONDS.toMillis(worstNs), clients.statuses(),
                run.proxy().metrics(), run.proxy().log());
    }
}
