package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** File descriptors that are reserved for other uses than clients, under a limit that the system enforces. */
@Timeout(60)
final class DescriptorsTest {

    private static final int MAX_DESCRIPTORS = 256;

    @TempDir
    Path folder;

    /**
     * Guards against clients using up all descriptors. Discovery is down while idle clients hold as many
     * connections as clients may have. Once it is up again, the proxy must be able to watch it and to
     * connect to many new backends at once.
     */
    @Test
    void discoveryAndBackendsAreReachedAtTheClientConnectionLimit() throws Exception {
        AtomicBoolean discoveryDown = new AtomicBoolean();
        CountDownLatch outageBegins = new CountDownLatch(1);
        CountDownLatch allReached = new CountDownLatch(20);
        try (Rig rig = new Rig(folder)) {
            List<String> entries = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                entries.add(Rig.entry("s" + i, rig.backend((connection, request) -> {
                    allReached.countDown();
                    allReached.await();
                    connection.respond("200 OK", "x");
                }).address(), "SERVING"));
            }
            ScriptedServer discovery = rig.backend((connection, request) -> {
                if (discoveryDown.get()) {
                    connection.respond("503 Down", "");
                    return;
                }
                boolean beforeOutage = outageBegins.getCount() > 0;
                String text = (beforeOutage ? Rig.list(8, true)
                        : Rig.list(9, true, entries.toArray(new String[0]))) + "\n";
                connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
                outageBegins.await();
                if (beforeOutage) {
                    connection.reset();
                }
            });
            rig.maxSockets(MAX_DESCRIPTORS);
            try (ProxyProcess proxy = new ProxyProcess(environment(rig, discovery),
                    ProxyProcess.freeAddress(), MAX_DESCRIPTORS)) {
                proxy.awaitReady();
                List<HttpTestConnection> activeClients = new ArrayList<>();
                for (int i = 0; i < 60; i++) {
                    activeClients.add(checkReady(HttpTestConnection.connect(proxy.address)));
                }
                List<HttpTestConnection> idleClients = new ArrayList<>();
                for (int i = 0; i < MAX_DESCRIPTORS; i++) {
                    idleClients.add(HttpTestConnection.connect(proxy.address));
                }
                discoveryDown.set(true);
                outageBegins.countDown();
                proxy.awaitLog("discovery answered 503");
                discoveryDown.set(false);
                for (int i = 0; i < 20; i++) {
                    activeClients.get(i).write(Rig.get("r" + i, "X-Deadline: 9000m\r\n"));
                }
                for (int i = 0; i < 20; i++) {
                    assertEquals(200, activeClients.get(i).read().status());
                }
                Path descriptorDirectory = Path.of("/proc", String.valueOf(proxy.process.pid()), "fd");
                try (Stream<Path> openDescriptors = Files.list(descriptorDirectory)) {
                    assertTrue(openDescriptors.count() < MAX_DESCRIPTORS);
                }
                assertEquals(MAX_DESCRIPTORS, idleClients.size());
            }
        }
    }

    private static Map<String, String> environment(Rig rig, ScriptedServer discovery)
            throws Exception {
        Map<String, String> environment = new HashMap<>(rig.environment());
        environment.put("PROXY_DISCOVERY", "127.0.0.1:" + discovery.address().getPort());
        return environment;
    }

    private static HttpTestConnection checkReady(HttpTestConnection client) throws Exception {
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status());
        return client;
    }
}
