package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint.Status;

/**
 * Guards against the failure of 2026-12-02, with real processes: discovery answers all calls 503 for some
 * seconds, and a server is removed once discovery serves again. Discovery has enough capacity for proxies
 * that back off between calls, but is overloaded if they call several times a second; then they learn of the
 * removal too late.
 */
@Timeout(180)
final class DiscoveryOverloadTest {

    private static final int PROXIES = 24;
    private static final CallCosts COSTS = new CallCosts(Duration.ofMillis(50), Duration.ZERO,
            Duration.ofSeconds(3), 2, Duration.ofMillis(50));

    @TempDir
    Path directory;

    @Test
    void aFleetWhoseCallsFailedLearnsOfARemovalInTime() throws Exception {
        SoakRun.Size size = new SoakRun.Size(PROXIES, 6, Duration.ZERO, 0, true, COSTS);
        try (SoakRun run = new SoakRun(Path.of(".."), directory, 1, size)) {
            run.start();
            run.startLoad();
            run.failDiscovery(DiscoveryServer.Mode.FAILING, Duration.ofSeconds(5));
            run.removeBackend(0, Status.DELETED);
            Duration notifiedAfter = Oracle.MAX_NOTIFICATION_DELAY.plus(ProxyInstance.DRAIN_GRACE);
            TimeUnit.MILLISECONDS.sleep(notifiedAfter.plusSeconds(3).toMillis());
            assertEquals(List.of(), run.finish(1).violations(), run::logs);
        }
    }
}
