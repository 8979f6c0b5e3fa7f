package passhatch.lab.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.Endpoint.Status;

/** Real processes whose system calls fail for a while. */
@Timeout(120)
final class SystemCallFaultsTest {

    private static final int PROXIES = 2;
    private static final int BACKENDS = 4;
    private static final int FAILS_MS = 300;
    /** Netty's own pause is a second. */
    private static final int MOST_WAIT_MS = 500;

    @TempDir
    Path folder;

    /** Its client's time runs while a connection waits to be taken. */
    @Test
    void aConnectionIsTakenSoonAfterAcceptFailed() throws Exception {
        SoakRun.Size size = new SoakRun.Size(1, BACKENDS, Duration.ZERO, 0, true, CallCosts.NONE);
        try (SoakRun run = new SoakRun(Path.of(".."), folder, 1, size)) {
            run.start();
            FaultShim shim = run.proxy(0).shim();
            shim.failAccept(1_000, FaultShim.Errno.ENFILE);
            try (Socket client = new Socket()) {
                client.connect(run.proxy(0).address());
                client.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".getBytes());
                TimeUnit.MILLISECONDS.sleep(FAILS_MS);
                shim.failAccept(0, FaultShim.Errno.ENFILE);
                long from = System.nanoTime();
                assertEquals("HTTP/1.1 200", new String(client.getInputStream().readNBytes(12)));
                Duration waited = Duration.ofNanos(System.nanoTime() - from);
                assertTrue(waited.toMillis() < MOST_WAIT_MS, waited.toString());
            }
        }
    }

    /** No socket can be made while a watch ends: discovery must be called again, and calls go on. */
    @Test
    void aWatchIsOpenedAnewAfterSocketsCouldNotBeMade() throws Exception {
        for (boolean asked : new boolean[] {true, false}) {
            SoakRun.Size size = new SoakRun.Size(PROXIES, BACKENDS, Duration.ZERO, 0, asked, CallCosts.NONE);
            try (SoakRun run = new SoakRun(Path.of(".."), folder.resolve("asked-" + asked), 1, size)) {
                run.start();
                run.load();
                run.socketsFail(Duration.ofSeconds(2));
                run.remove(0, Status.DELETED);
                Duration told = Oracle.TOLD.plus(ProxyInstance.DRAIN_GRACE);
                TimeUnit.MILLISECONDS.sleep(told.plusSeconds(2).toMillis());
                SoakRun.Report report = run.finish(1);
                assertEquals(List.of(), report.violations(), run::logs);
                assertTrue(report.served() * 4 > report.requests(), report.toString());
            }
        }
    }
}
