package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.proxy.HttpTestConnection.Message;

/** Upgrade by hot restart: a second process of the same proxy starts while the first is running. */
@Timeout(120)
final class UpgradeTest {

    @TempDir
    Path folder;
    @TempDir
    Path stateDirectory;
    private Rig rig;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /** A proxy process that is ready, with its console. */
    private final class ReadyProxy implements AutoCloseable {
        final InetSocketAddress console = ProxyProcess.freeAddress();
        final ProxyProcess proxy;

        ReadyProxy(InetSocketAddress listen, String... entries) throws Exception {
            Map<String, String> env = new HashMap<>(rig.environment());
            env.put("PROXY_CONSOLE", "127.0.0.1:" + console.getPort());
            env.put("TMPDIR", stateDirectory.toString());
            ScriptedServer discovery = rig.backend((connection, request) -> {
                String line = Rig.list(8, true, entries) + "\n";
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
            });
            env.put("PROXY_DISCOVERY", "127.0.0.1:" + discovery.address().getPort());
            proxy = new ProxyProcess(env, listen);
            long deadlineNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
            while (!succeeds("GET /control/ready")) {
                if (System.nanoTime() > deadlineNs) {
                    proxy.close();
                    throw new AssertionError("the proxy did not become ready in time");
                }
                Thread.sleep(10);
            }
        }

        boolean succeeds(String methodAndPath) {
            try (HttpTestConnection caller = HttpTestConnection.connect(console)) {
                caller.write(methodAndPath + " HTTP/1.1\r\nHost: c\r\n\r\n");
                return caller.read().status() == 200;
            } catch (IOException notListeningYet) {
                return false;
            }
        }

        @Override
        public void close() {
            proxy.close();
        }
    }

    private static String call(InetSocketAddress proxy, String id) throws IOException {
        try (HttpTestConnection client = HttpTestConnection.connect(proxy)) {
            client.write(Rig.get(id, ""));
            Message response = client.read();
            return response == null ? "nothing" : response.status() + " " + response.text();
        }
    }

    @Test
    void restartLosesNoRequestAndKeepsBackendsDisabled() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer backendB = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").equals("held")) {
                release.await();
            }
            connection.respond("200 OK", "b");
        });
        String[] entries = {Rig.entry("a", backendA.address(), "SERVING"),
                Rig.entry("b", backendB.address(), "SERVING")};
        InetSocketAddress listen = ProxyProcess.freeAddress();
        try (ReadyProxy first = new ReadyProxy(listen, entries)) {
            assertTrue(first.succeeds("POST /control/backends/a/offline"));
            HttpTestConnection pending = HttpTestConnection.connect(listen);
            pending.write(Rig.get("held", ""));
            assertEquals("held", backendB.nextRequest().header("X-Request-Id"));
            AtomicBoolean stop = new AtomicBoolean();
            AtomicInteger served = new AtomicInteger();
            CompletableFuture<String> clientResult = CompletableFuture.supplyAsync(() -> {
                String response = "200 b";
                for (int i = 0; !stop.get() && response.equals("200 b"); i++) {
                    try {
                        response = call(listen, "c" + i);
                        served.incrementAndGet();
                    } catch (IOException broken) {
                        response = broken.toString();
                    }
                }
                return response;
            });
            try (ReadyProxy second = new ReadyProxy(listen, entries)) {
                assertTrue(first.succeeds("POST /control/backends/a/offline"));
                first.proxy.signal("TERM");
                first.proxy.awaitLog("another process serves");
                int servedBefore = served.get();
                release.countDown();
                Message response = pending.read();
                assertEquals(200, response.status());
                assertEquals("close", response.header("Connection"));
                assertEquals(0, first.proxy.awaitExit());
                while (served.get() < servedBefore + 20 && !clientResult.isDone()) {
                    Thread.sleep(5);
                }
                stop.set(true);
                assertEquals("200 b", clientResult.get(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
                assertEquals(0, backendA.receivedRequests.size(),
                        "the disabled backend is disabled in the successor too");
                assertTrue(second.succeeds("POST /control/backends/a/online"));
                long deadlineNs = System.nanoTime() + HttpTestConnection.TIMEOUT_MS * 1_000_000L;
                for (int i = 0; backendA.receivedRequests.isEmpty(); i++) {
                    call(listen, "again" + i);
                    assertTrue(System.nanoTime() < deadlineNs,
                            "the backend got no request after it was enabled again");
                }
            }
        }
    }

    @Test
    void successorStaysOutOfServiceUntilReturned() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        String entry = Rig.entry("a", backendA.address(), "SERVING");
        InetSocketAddress listen = ProxyProcess.freeAddress();
        try (ReadyProxy first = new ReadyProxy(listen, entry)) {
            assertTrue(first.succeeds("POST /control/out-of-service"));
            try (ReadyProxy second = new ReadyProxy(listen, entry)) {
                first.proxy.signal("TERM");
                assertEquals(0, first.proxy.awaitExit());
                assertEquals(503, readyStatus(listen));
                assertTrue(second.succeeds("POST /control/in-service"));
                assertEquals(200, readyStatus(listen));
            }
        }
    }

    private static int readyStatus(InetSocketAddress proxy) throws IOException {
        try (HttpTestConnection front = HttpTestConnection.connect(proxy)) {
            front.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
            return front.read().status();
        }
    }

    @Test
    void firstProcessServesAfterItsSuccessorIsKilled() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        String entry = Rig.entry("a", backendA.address(), "SERVING");
        InetSocketAddress listen = ProxyProcess.freeAddress();
        try (ReadyProxy first = new ReadyProxy(listen, entry)) {
            try (ReadyProxy second = new ReadyProxy(listen, entry)) {
                second.proxy.signal("KILL");
                second.proxy.awaitExit();
            }
            for (int i = 0; i < 20; i++) {
                assertEquals("200 a", call(listen, "r" + i));
            }
            first.proxy.signal("TERM");
            first.proxy.awaitLog("shutting down");
            assertEquals("200 a", call(listen, "late"), "without a successor it still accepts connections");
            assertEquals(0, first.proxy.awaitExit());
        }
    }

    @Test
    void successorServesAfterTheFirstProcessIsKilled() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        String entry = Rig.entry("a", backendA.address(), "SERVING");
        InetSocketAddress listen = ProxyProcess.freeAddress();
        try (ReadyProxy first = new ReadyProxy(listen, entry);
                ReadyProxy second = new ReadyProxy(listen, entry)) {
            first.proxy.signal("KILL");
            first.proxy.awaitExit();
            for (int i = 0; i < 20; i++) {
                assertEquals("200 a", call(listen, "r" + i));
            }
            assertTrue(second.succeeds("POST /control/backends/a/offline"));
            assertFalse(second.succeeds("POST /control/backends/z/offline"));
        }
    }

    @Test
    void proxyStartsDespiteACorruptStateFile() throws Exception {
        ScriptedServer backendA = ScriptedServer.respondingWith("a");
        Files.writeString(stateDirectory.resolve("passhatch-n0-state.json"), "{\"version\":");
        try (ReadyProxy first = new ReadyProxy(ProxyProcess.freeAddress(),
                Rig.entry("a", backendA.address(), "SERVING"))) {
            assertEquals("200 a", call(first.proxy.address, "r"));
        }
    }
}
