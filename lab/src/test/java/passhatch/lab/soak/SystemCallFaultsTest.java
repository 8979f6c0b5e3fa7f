package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.Endpoint.Status;

/** Checks that real proxy processes recover after system calls have failed for some time. */
@Timeout(120)
final class SystemCallFaultsTest {

    private static final int PROXIES = 2;
    private static final int BACKENDS = 4;
    private static final int FAULT_DURATION_MS = 300;
    private static final int FAILING_PERMILLE = 300;
    private static final int CONNECTIONS = 60;
    /** Less than the pause of 1 s that Netty makes by itself after a failed accept. */
    private static final int MAX_WAIT_MS = 500;

    @TempDir
    Path directory;

    /** While a connection waits to be accepted, the deadline of its client's request comes closer. */
    @Test
    void aConnectionIsAcceptedSoonAfterAcceptFailed() throws Exception {
        SoakRun.Size size = new SoakRun.Size(1, BACKENDS, Duration.ZERO, 0, true, CallCosts.NONE);
        try (SoakRun run = new SoakRun(Path.of(".."), directory, 1, size)) {
            run.start();
            FaultShim shim = run.proxy(0).shim();
            shim.failAccept(1_000, FaultShim.Errno.ENFILE);
            try (Socket client = new Socket()) {
                client.connect(run.proxy(0).address());
                client.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".getBytes());
                TimeUnit.MILLISECONDS.sleep(FAULT_DURATION_MS);
                shim.failAccept(0, FaultShim.Errno.ENFILE);
                long startNs = System.nanoTime();
                assertEquals("HTTP/1.1 200", new String(client.getInputStream().readNBytes(12)));
                Duration waited = Duration.ofNanos(System.nanoTime() - startNs);
                assertTrue(waited.toMillis() < MAX_WAIT_MS, waited.toString());
            }
        }
    }

    // Guards against a pause after each failed accept, in which the connections behind it waited too long.
    @Test
    void connectionsThatComeTogetherAreAcceptedSoonAlthoughAcceptFailsNowAndThen() throws Exception {
        SoakRun.Size size = new SoakRun.Size(1, BACKENDS, Duration.ZERO, 0, true, CallCosts.NONE);
        try (SoakRun run = new SoakRun(Path.of(".."), directory, 1, size)) {
            run.start();
            run.proxy(0).shim().failAccept(FAILING_PERMILLE, FaultShim.Errno.ENFILE);
            List<Socket> clients = new ArrayList<>();
            long startNs = System.nanoTime();
            for (int i = 0; i < CONNECTIONS; i++) {
                Socket client = new Socket();
                clients.add(client);
                client.connect(run.proxy(0).address());
                client.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".getBytes());
            }
            for (Socket client : clients) {
                assertEquals("HTTP/1.1 200", new String(client.getInputStream().readNBytes(12)));
                client.close();
            }
            Duration waited = Duration.ofNanos(System.nanoTime() - startNs);
            assertTrue(waited.toMillis() < MAX_WAIT_MS, waited.toString());
        }
    }

    /**
     * If no socket can be created when a watch ends, the proxy must call discovery again later and keep
     * serving.
     */
    @Test
    void aWatchIsReopenedAfterSocketCreationFailed() throws Exception {
        for (boolean discoveryOnRequest : new boolean[] {true, false}) {
            SoakRun.Size size = new SoakRun.Size(PROXIES, BACKENDS, Duration.ZERO, 0, discoveryOnRequest,
                    CallCosts.NONE);
            try (SoakRun run = new SoakRun(Path.of(".."), directory.resolve("asked-" + discoveryOnRequest), 1,
                    size)) {
                run.start();
                run.startLoad();
                run.failSockets(Duration.ofSeconds(2));
                run.removeBackend(0, Status.DELETED);
                Duration notifiedAfter = Oracle.MAX_NOTIFICATION_DELAY.plus(ProxyInstance.DRAIN_GRACE);
                TimeUnit.MILLISECONDS.sleep(notifiedAfter.plusSeconds(2).toMillis());
                SoakRun.Report report = run.finish(1);
                assertEquals(List.of(), report.violations(), run::logs);
                assertTrue(report.served() * 4 > report.requests(), report.toString());
            }
        }
    }
}
