package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import passhatch.Balancer;

/** Reloading the configuration while the proxy runs. */
@Timeout(60)
final class ReloadTest {

    @TempDir
    Path folder;
    @TempDir
    Path otherFolder;
    private Rig rig;
    private Rig other;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        other = new Rig(otherFolder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
        other.close();
    }

    private ScriptedServer respondingWith(String text) throws IOException {
        return rig.backend((connection, request) -> connection.respond("200 OK", text));
    }

    private static String servingEntry(String name, ScriptedServer backend) {
        return Rig.entry(name, backend.address(), "SERVING");
    }

    private static String loopbackText(InetSocketAddress address) {
        return "127.0.0.1:" + address.getPort();
    }

    private static void awaitServedBy(InetSocketAddress proxy, String text) throws Exception {
        String received = "";
        for (int i = 0; !received.equals(text); i++) {
            try (HttpTestConnection client = HttpTestConnection.connect(proxy)) {
                client.write(Rig.get(text + i, ""));
                received = client.read().text();
            }
        }
    }

    /**
     * Guards against SIGHUP ending a JVM without a handler, and against its loss if the parent ignores it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "trap '' HUP TERM; "})
    void sighupMovesTheWatchAndNeverEndsTheProcess(String shellPrefix) throws Exception {
        ScriptedServer backendA = respondingWith("a");
        rig.discoveryLines.add(Rig.list(8, true, servingEntry("s", backendA)));
        Map<String, String> env = rig.environment();
        try (ProxyProcess proxy = new ProxyProcess(env, shellPrefix)) {
            Files.writeString(Path.of(env.get("PROXY_CONFIG")), "{\"seed\":");
            proxy.signal("HUP");
            proxy.awaitLog("configuration not reloaded");
            awaitServedBy(proxy.address, "a");
            rig.environmentWithDiscovery(loopbackText(other.discovery().address()));
            proxy.signal("HUP");
            proxy.signal("HUP");
            other.discoveryLines.add(Rig.list(3, true, servingEntry("t", respondingWith("b"))));
            awaitServedBy(proxy.address, "b");
            proxy.signal("HUP");
            proxy.signal("TERM");
            assertEquals(0, proxy.awaitExit());
        }
    }

    /**
     * Each address numbers its lists independently, so the proxy must not watch the new one from the old
     * index.
     */
    @Test
    void newAddressIsAskedForTheFullListFirst() throws Exception {
        rig.start(servingEntry("s", respondingWith("a")));
        Map<String, String> env = rig.environmentWithDiscovery(loopbackText(other.discovery().address()));
        rig.proxy().reload(env);
        other.discoveryLines.add(Rig.list(8, true, servingEntry("t", respondingWith("b"))));
        assertEquals("GET /v1/endpoints HTTP/1.1", other.discovery().nextRequest().startLine());
        assertTrue(other.discovery().nextRequest().startLine().contains("watch=1&from=8"));
        awaitServedBy(rig.proxy().address(), "b");
        rig.discoveryLines.add(Rig.list(9, true));
        rig.discoveryLines.add(Rig.list(9, true));
        rig.discoveryLines.add(Rig.END_OF_WATCH);
        rig.discovery().awaitClosedConnection();
        assertEquals("b", rig.call(Rig.get("r", "")).text(), "lists from the old address are ignored");
    }

    /**
     * Changes that the old address sends before the new one responds count as known to the proxy, so it must
     * apply them.
     */
    @Test
    void oldAddressIsWatchedUntilTheNewOneResponds() throws Exception {
        ScriptedServer backendA = respondingWith("a");
        rig.start(servingEntry("s", backendA));
        assertEquals("a", rig.call(Rig.get("r", "")).text());
        rig.proxy().reload(rig.environmentWithDiscovery(loopbackText(other.discovery().address())));
        other.discovery().nextRequest();
        rig.discoveryLines.add(Rig.list(9, false, Rig.entry("s", backendA.address(), "DELETED"),
                servingEntry("t", respondingWith("b"))));
        awaitServedBy(rig.proxy().address(), "b");
    }

    /**
     * A module that polls discovery takes every list as a sign that its watch is open. If it received a list
     * from the old address after the reload, it would never watch the new one.
     */
    @Test
    void listFromTheOldAddressDoesNotCountAsAWatchOfTheNewOne() throws Exception {
        rig.replaceInConfig("\"discovery\":\"pushed\"", "\"discovery\":\"on_request\"")
                .replaceInConfig("\"coldFrom\":0.4", "\"coldFrom\":0.4,\"askEveryUs\":9000000");
        rig.module((settings, seed, actions) -> ScriptedModule.of((name, args) -> {
            if (name.equals("serversChanged") && args[1] == Balancer.ListKind.CACHED) {
                actions.watchServers();
            }
        }));
        rig.start(servingEntry("s", respondingWith("a")));
        rig.proxy().reload(rig.environmentWithDiscovery(loopbackText(other.discovery().address())));
        rig.discoveryLines.add(Rig.list(9, false));
        assertEquals("GET /v1/endpoints HTTP/1.1", other.discovery().nextRequest().startLine());
    }

    @Test
    void listIsKeptWhileTheNewAddressIsDown() throws Exception {
        rig.start(servingEntry("s", respondingWith("a")));
        InetSocketAddress closedAddress;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedAddress = (InetSocketAddress) closed.getLocalSocketAddress();
        }
        rig.proxy().reload(rig.environmentWithDiscovery(loopbackText(closedAddress)));
        rig.awaitLog("discovery: Connection refused");
        assertEquals("a", rig.call(Rig.get("r", "")).text());
        rig.proxy().reload(rig.environmentWithDiscovery(loopbackText(other.discovery().address())));
        other.discoveryLines.add(Rig.list(1, true, servingEntry("t", respondingWith("b"))));
        awaitServedBy(rig.proxy().address(), "b");
    }
}
