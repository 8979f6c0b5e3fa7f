package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import passhatch.Balancer;
import passhatch.Balancer.Actions;
import passhatch.Balancer.Outcome;

/**
 * A request whose client has left while it waited reaches no backend. In each case the module is held back
 * until it has heard that the client is gone, and then sends all the same: what must not go out has to be
 * stopped at the socket. A request of another client, sent after that, shows that nothing came before it.
 */
@Timeout(60)
final class LeavingClientsTest {

    /** How a client leaves. */
    enum Leaving {
        CLOSE {
            @Override
            void go(Http client) throws IOException {
                client.close();
            }
        },
        RESET {
            @Override
            void go(Http client) throws IOException {
                client.reset();
            }
        },
        END_OF_SENDING {
            @Override
            void go(Http client) throws IOException {
                client.socket.shutdownOutput();
            }
        };

        abstract void go(Http client) throws IOException;
    }

    @TempDir
    Path folder;
    private Rig rig;
    private ScriptedServer backend;
    private final BlockingQueue<String> taken = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> gone = new LinkedBlockingQueue<>();
    private final BlockingQueue<Outcome> outcomes = new LinkedBlockingQueue<>();
    private final CountDownLatch release = new CountDownLatch(1);
    private final CountDownLatch goOn = new CountDownLatch(1);
    private ScriptedServer breaking;

    @BeforeEach
    void setUp() throws IOException {
        rig = new Rig(folder);
        backend = rig.backend((connection, request) -> {
            if (request.header("X-Request-Id").startsWith("slow")) {
                release.await();
            }
            connection.answer("200 OK", request.header("X-Request-Id"));
        });
        breaking = rig.backend((connection, request) -> connection.reset());
    }

    @AfterEach
    void tearDown() throws IOException {
        release.countDown();
        rig.close();
    }

    /** A module that holds each request until its client is gone; others, named so, are sent at once. */
    private void startHolding() throws Exception {
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request r) {
                taken.add(r.id());
                if (r.id().startsWith("slow") || r.id().startsWith("last")) {
                    actions.send(r.id(), "s", 0);
                } else if (r.id().startsWith("connects")) {
                    actions.send(r.id(), "s", 0);
                    rig.proxy().inLoop(() -> goOn.await(Http.PATIENCE_MS, TimeUnit.MILLISECONDS));
                } else if (r.id().startsWith("breaks")) {
                    actions.send(r.id(), "t", 0);
                }
            } else if (method.equals("clientGone")) {
                String id = (String) args[1];
                gone.add(id);
                actions.send(id, "s", 0);
            } else if (method.equals("outcome")) {
                outcomes.add((Outcome) args[4]);
            }
        })).start(Rig.entry("s", backend.address(), "SERVING"),
                Rig.entry("t", breaking.address(), "SERVING"));
    }

    private static <T> T next(BlockingQueue<T> from) throws InterruptedException {
        T next = from.poll(Http.PATIENCE_MS, TimeUnit.MILLISECONDS);
        assertTrue(next != null, "nothing came");
        return next;
    }

    /** Sends another client's request and checks that the backend has received nothing before it. */
    private void nothingWasSent() throws Exception {
        rig.call(Rig.get("last", ""));
        List<String> received = new ArrayList<>();
        for (Http.Message m = backend.next();; m = backend.next()) {
            if (m.header("X-Request-Id").equals("last")) {
                break;
            }
            received.add(m.header("X-Request-Id"));
        }
        received.removeIf(id -> id.startsWith("slow"));
        assertEquals(List.of(), received);
    }

    @ParameterizedTest
    @EnumSource
    void whileItWaitsInTheModule(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        client.write(Rig.get("a", ""));
        assertEquals("a", next(taken));
        leaving.go(client);
        assertEquals("a", next(gone));
        nothingWasSent();
    }

    /** The loop stands still until the connection has come up and the client has left: one turn sees both. */
    @ParameterizedTest
    @EnumSource
    void inTheTurnInWhichItsConnectionComesUp(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        client.write(Rig.get("connects", ""));
        assertEquals("connects", next(taken));
        while (backend.connections.get() == 0) {
            Thread.onSpinWait();
        }
        leaving.go(client);
        goOn.countDown();
        assertEquals("connects", next(gone));
        nothingWasSent();
    }

    @ParameterizedTest
    @EnumSource
    void betweenTries(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        client.write(Rig.get("breaks", ""));
        assertEquals(Outcome.RESET, next(outcomes));
        leaving.go(client);
        assertEquals("breaks", next(gone));
        nothingWasSent();
    }

    /** Nothing more is expected on such a connection; yet its end has to be seen. */
    @ParameterizedTest
    @EnumSource
    void whereItsConnectionCarriesNoFurtherRequest(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        client.write(Rig.get("a", "Connection: close\r\n"));
        assertEquals("a", next(taken));
        leaving.go(client);
        assertEquals("a", next(gone));
        nothingWasSent();
    }

    /** Four are open and those behind them are not taken; the end stands behind them all. */
    @ParameterizedTest
    @EnumSource
    void behindOthersOnItsConnection(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        StringBuilder all = new StringBuilder();
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            all.append(Rig.get(id, ""));
        }
        client.write(all.toString());
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(id, next(taken));
        }
        leaving.go(client);
        for (String id : List.of("a", "b", "c", "d")) {
            assertEquals(id, next(gone));
        }
        nothingWasSent();
        assertEquals("last", next(taken), "those behind were never taken");
    }

    /** One behind a slow one, whose client has gone by the time that it could be taken. */
    @ParameterizedTest
    @EnumSource
    void behindSlowOnesThatTheBackendHas(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        StringBuilder all = new StringBuilder();
        for (String id : List.of("slow1", "slow2", "slow3", "slow4", "a")) {
            all.append(Rig.get(id, ""));
        }
        client.write(all.toString());
        for (int i = 1; i <= 4; i++) {
            assertEquals("slow" + i, next(taken));
        }
        leaving.go(client);
        for (int i = 1; i <= 4; i++) {
            assertEquals("slow" + i, next(gone));
        }
        release.countDown();
        nothingWasSent();
    }

    /** What follows it cannot be taken, so the connection is on its way to its end. */
    @ParameterizedTest
    @EnumSource
    void beforeGarbageOnItsConnection(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        client.write(Rig.get("a", "") + "no request\r\n\r\n");
        assertEquals("a", next(taken));
        rig.awaitLog("request refused with 400");
        leaving.go(client);
        assertEquals("a", next(gone));
        nothingWasSent();
    }

    /** More of a body has come than is held, and it is not read on until a backend takes it. */
    @ParameterizedTest
    @EnumSource
    void whileItUploads(Leaving leaving) throws Exception {
        startHolding();
        Http client = rig.client();
        int length = 200_000;
        client.write("POST /move HTTP/1.1\r\nHost: p\r\nX-Request-Id: a\r\nContent-Length: " + length
                + "\r\n\r\n" + "x".repeat(length));
        assertEquals("a", next(taken));
        leaving.go(client);
        assertEquals("a", next(gone));
        nothingWasSent();
    }

    /** A burst: not one of many goes out. */
    @ParameterizedTest
    @EnumSource
    void manyAtOnce(Leaving leaving) throws Exception {
        startHolding();
        List<Http> clients = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            Http client = rig.client();
            client.write(Rig.get("a" + i, ""));
            clients.add(client);
        }
        for (int i = 0; i < 40; i++) {
            next(taken);
        }
        for (Http client : clients) {
            leaving.go(client);
        }
        for (int i = 0; i < 40; i++) {
            next(gone);
        }
        nothingWasSent();
    }

    /** The loop is held up; by the time that it reads the request, its client's end stands behind it. */
    @ParameterizedTest
    @EnumSource
    void beforeItIsRead(Leaving leaving) throws Exception {
        rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
            if (args[args.length - 1] instanceof Balancer.Request r) {
                actions.send(r.id(), "s", 0);
            }
        })).start(Rig.entry("s", backend.address(), "SERVING"));
        release.countDown();
        assertEquals(200, rig.call(Rig.get("slow", "")).status(), "a connection to the backend is kept");
        Http client = rig.client();
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status());
        rig.proxy().inLoop(() -> {
            client.write(Rig.get("a", ""));
            leaving.go(client);
            return null;
        }).get();
        nothingWasSent();
    }

    /** More came at once than is read ahead; once all of it is read its client is there as before. */
    @Test
    void aClientThatSentMuchIsStillThereOnceAllIsRead() throws Exception {
        int many = 600;
        List<String> held = new ArrayList<>();
        BlockingQueue<Actions> module = new LinkedBlockingQueue<>();
        rig.standStill().module((settings, seed, actions) -> {
            module.add(actions);
            return ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request r) {
                    int number = Integer.parseInt(r.id());
                    if (number < 4 || number >= many - 4) {
                        held.add(r.id());
                        taken.add(r.id());
                    } else {
                        actions.refuse(r.id(), 0);
                    }
                }
            });
        }).start(Rig.entry("s", backend.address(), "SERVING"));
        Actions actions = module.take();
        Http client = rig.client();
        client.write("GET /ready HTTP/1.1\r\nHost: p\r\n\r\n");
        assertEquals(200, client.read().status());
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < many; i++) {
            all.append(Rig.get(String.valueOf(i), ""));
        }
        rig.proxy().inLoop(() -> {
            client.write(all.toString());
            return null;
        }).get();
        for (int i = 0; i < 4; i++) {
            next(taken);
        }
        rig.proxy().inLoop(() -> {
            held.forEach(id -> actions.refuse(id, 0));
            held.clear();
            return null;
        });
        for (int i = 0; i < many - 4; i++) {
            assertEquals(503, client.read().status());
        }
        for (int i = 0; i < 4; i++) {
            next(taken);
        }
        // Another's answer comes some turns of the loop later.
        Rig.awaitReady(rig.proxy().address());
        rig.pass(300);
        rig.proxy().inLoop(() -> {
            held.forEach(id -> actions.send(id, "s", 0));
            return null;
        });
        for (int i = many - 4; i < many; i++) {
            assertEquals(String.valueOf(i), client.read().text());
        }
    }
}
