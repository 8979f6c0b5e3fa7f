package passhatch.lab.latency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import passhatch.lab.discovery.CallCosts;
import passhatch.lab.discovery.DiscoveryListener;
import passhatch.lab.discovery.DiscoveryServer;
import passhatch.lab.discovery.Endpoint;

/** The path of a measured call from load to backend, with the proxy started as in the deploy file. */
@Timeout(120)
final class ProxyProcessTest {

    @Test
    void everyPlannedRequestGoesThroughTheProxyAndEnds() throws Exception {
        try (StubBackends backends = new StubBackends(1);
                DiscoveryServer discovery = new DiscoveryServer(List.of(Endpoint.serving("s",
                        "127.0.0.1:" + backends.addresses().get(0).getPort(), ProxyProcess.ZONE,
                        ProxyProcess.MACHINE_TYPE, 0)), CallCosts.NONE, false, DiscoveryListener.NONE);
                ProxyProcess proxy = new ProxyProcess(Path.of(".."), CoreAssignment.detect(),
                        discovery.address());
                OpenLoopLoad load = new OpenLoopLoad(proxy.address(), 50, 1)) {
            LoadResult result = load.run(100, Duration.ofMillis(500), Duration.ofSeconds(60));
            assertEquals(List.of(50, 50, 50), List.of(result.planned(), result.sent(), result.ended()));
            assertTrue(result.served() > 25, () -> result.served() + " served");
            assertTrue(proxy.cpuTime().toNanos() > 0);
        }
    }
}
