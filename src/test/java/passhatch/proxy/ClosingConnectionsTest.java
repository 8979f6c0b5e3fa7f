package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.Balancer;
import passhatch.Balancer.Actions;

/**
 * What stands on a client's connection in the turn in which the proxy closes it. The loop stands still while
 * the client writes, and does what closes the connection before it reads.
 */
@Timeout(60)
final class ClosingConnectionsTest {

    private static final String READY = "GET /ready HTTP/1.1\r\nHost: p\r\n\r\n";

    @TempDir
    Path folder;
    private Rig rig;
    private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
    private volatile Actions actions;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
    }

    @AfterEach
    void tearDown() throws IOException {
        rig.close();
    }

    /** A module that holds what is named so and refuses all else. */
    private void start() throws Exception {
        rig.module((settings, seed, module) -> {
            actions = module;
            return ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request r) {
                    taken.add(r.id());
                    if (!r.id().startsWith("held")) {
                        module.refuse(r.id(), 0);
                    }
                }
            });
        }).start();
    }

    private Http ready() throws IOException {
        Http client = rig.client();
        client.write(READY);
        assertEquals(200, client.read().status());
        return client;
    }

    private void awaitTaken(String id) throws InterruptedException {
        assertEquals(id, taken.poll(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
    }

    /** Of six at once four are taken, and end in one step; the two behind have been read all the same. */
    @Test
    void whatWasReadAheadIsAnsweredBeforeItsConnectionEnds() throws Exception {
        rig.sockets(48);
        start();
        List<Http> crowd = List.of(ready(), ready());
        Http client = rig.client();
        List<String> ids = List.of("held1", "held2", "held3", "held4", "e", "f");
        client.write(String.join("", ids.stream().map(id -> Rig.get(id, "")).toList()));
        for (String id : ids.subList(0, 4)) {
            awaitTaken(id);
        }
        rig.proxy().inLoop(() -> {
            for (int i = 3; i >= 0; i--) {
                actions.refuse(ids.get(i), 0);
            }
            return null;
        }).get();
        for (int i = 0; i < 6; i++) {
            assertEquals(i == 5 ? "close" : null, client.read().header("Connection"), ids.get(i));
        }
        assertNull(client.read());
        assertEquals(2, crowd.size());
    }
}
