package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.HttpTestConnection.Message;

/** Shutdown by SIGTERM, with requests that are pending or still arriving. */
@Timeout(60)
final class ShutdownTest {

    @TempDir
    Path folder;

    /** SIGKILL comes before the request's deadline of 10 s, so the proxy must answer the request earlier. */
    @Test
    void pendingRequestIsAnsweredBeforeSigkill() throws Exception {
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend(ScriptedServer.NO_RESPONSE);
            rig.start(Rig.entry("s", backend.address(), "SERVING"));
            HttpTestConnection client = rig.client();
            client.write(Rig.post("/move", "stuck", ""));
            backend.nextRequest();
            long startNs = System.nanoTime();
            rig.proxy().shutDown();
            assertEquals(502, client.read().status());
            assertTrue((System.nanoTime() - startNs) / 1_000_000 < 8_000);
            assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
        }
    }

    @Test
    void servesPendingAndNewRequestsThenExitsWithZero() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        try (Rig rig = new Rig(folder)) {
            ScriptedServer backend = rig.backend((connection, request) -> {
                if (!request.header("X-Request-Id").equals("quick")) {
                    release.await();
                }
                connection.respond("200 OK", request.header("X-Request-Id"));
            });
            rig.discoveryLines.add(Rig.list(8, true, Rig.entry("s", backend.address(), "SERVING")));
            try (ProxyProcess proxy = new ProxyProcess(rig.environment())) {
                HttpTestConnection pending = HttpTestConnection.connect(proxy.address);
                pending.write(Rig.get("held", ""));
                backend.nextRequest();
                HttpTestConnection kept = HttpTestConnection.connect(proxy.address);
                HttpTestConnection unused = HttpTestConnection.connect(proxy.address);
                proxy.signal("TERM");
                proxy.awaitLog("shutting down");
                HttpTestConnection open = HttpTestConnection.connect(proxy.address);
                open.write(Rig.get("quick", ""));
                assertNull(open.read().header("Connection"),
                        "the connection is kept, as clients may have no other proxy yet");
                backend.nextRequest();
                HttpTestConnection late = HttpTestConnection.connect(proxy.address);
                late.write(Rig.get("late", ""));
                backend.nextRequest();
                kept.write(Rig.get("kept", ""));
                backend.nextRequest();
                while (proxy.isListening()) {
                    Thread.sleep(10);
                }
                assertNull(unused.read(), "the idle connection is closed while others are in use");
                release.countDown();
                for (HttpTestConnection client : new HttpTestConnection[] {pending, late, kept}) {
                    Message response = client.read();
                    assertEquals(200, response.status());
                    assertEquals("close", response.header("Connection"));
                }
                assertEquals(0, proxy.awaitExit());
            }
        }
    }
}
