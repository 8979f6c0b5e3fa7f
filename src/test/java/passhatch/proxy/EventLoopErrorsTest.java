package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.ThreadExecutorMap;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import passhatch.Balancer;

/** What happens to a proxy whose event loop meets an Error, in a task or outside of all. */
@Timeout(60)
final class EventLoopErrorsTest {

    @TempDir
    Path folder;

    // Guards against a module that is never called again, as an Error left it marked as running.
    @Test
    void anErrorInTheModuleFailsItsRequestAndNoOther() throws Exception {
        try (Rig rig = new Rig(folder)) {
            rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request request) {
                    if (request.id().equals("a")) {
                        throw new StackOverflowError("by the test");
                    }
                    actions.refuse(request.id(), 0);
                }
            })).start();
            assertEquals(502, rig.call(Rig.get("a", "")).status());
            assertEquals(503, rig.call(Rig.get("b", "")).status());
        }
    }

    // Guards against checks that end for good when one of them throws.
    @Test
    void aRepeatedTaskThatThrowsIsRepeated() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        CountDownLatch runs = new CountDownLatch(3);
        try {
            EventLog log = new EventLog(new PrintStream(OutputStream.nullOutputStream()));
            RepeatingTask.start(group.next(), log, "test", 1_000, () -> {
                runs.countDown();
                throw new StackOverflowError("by the test");
            });
            assertTrue(runs.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        } finally {
            group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).syncUninterruptibly();
        }
    }

    // Guards against review/3's second half: the process lived on without its event loop.
    @Test
    void anEventLoopThatEndsUnaskedIsReported() throws Exception {
        try (Rig rig = new Rig(folder)) {
            rig.start(Rig.entry("s", rig.backend(ScriptedServer.NO_RESPONSE).address(), "SERVING"));
            assertEquals(1, rig.loopFailure.getCount());
            rig.proxy().submitToLoop(() -> ThreadExecutorMap.currentExecutor()
                    .shutdownGracefully(0, 0, TimeUnit.MILLISECONDS));
            assertTrue(rig.loopFailure.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void anErrorInTheThreadOfTheEventLoopIsReported() throws Exception {
        CountDownLatch reported = new CountDownLatch(1);
        Thread thread = new EventLoopThreadFactory(() -> true, reported::countDown).newThread(() -> {
            throw new OutOfMemoryError("by the test");
        });
        thread.setUncaughtExceptionHandler((ended, error) -> { });
        thread.start();
        assertTrue(reported.await(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS));
    }

    @Test
    void theEndOfAProxyIsNoFailureOfItsLoop() throws Exception {
        try (Rig rig = new Rig(folder)) {
            rig.start(Rig.entry("s", rig.backend(ScriptedServer.NO_RESPONSE).address(), "SERVING"));
            rig.proxy().shutDown();
            assertTrue(rig.proxy().awaitTermination(HttpTestConnection.TIMEOUT_MS));
            assertEquals(1, rig.loopFailure.getCount());
        }
    }
}
