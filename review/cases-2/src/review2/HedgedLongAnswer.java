package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A planned restart while two servers of four hang, where attempts may not be called off. */
final class HedgedLongAnswer {

    private static final int LONG_BYTES = 100_000;
    private static final int CLIENTS = 24;
    /** Planned restarts, each of a proxy of its own. */
    private static final int ROUNDS = 3;
    private static final double SENT_AFTER = 1.2;
    private static final double SIGKILL_AFTER = 2.75;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Rig.Discovery discovery = rig.new Discovery();
            boolean[] hangs = new boolean[1];
            for (int i = 1; i <= 4; i++) {
                int number = i;
                Rig.Server server = rig.new Server("s-" + i, (request, connection) -> {
                    if (number > 2 && hangs[0]) {
                        Rig.sleep(30);
                    }
                    Rig.sleep(0.05);
                    connection.getOutputStream().write(Rig.answer(200, "", request.path().startsWith("/status")
                            ? new byte[LONG_BYTES] : Rig.bytes("done")));
                });
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            int unanswered = 0;
            for (int round = 0; round < ROUNDS; round++) {
                hangs[0] = false;
                unanswered += restart(rig, discovery, hangs);
            }
            return unanswered == 0;
        });
    }

    /** Restarts a proxy under load, and returns how many requests got no answer. */
    private static int restart(Rig rig, Rig.Discovery discovery, boolean[] hangs) throws Exception {
        Rig.Proxy proxy = rig.startProxy(discovery, Rig.settings("on_request", false, 100_000));
        List<Rig.Client> clients = new ArrayList<>();
        for (int warmUp = 0; warmUp < 3; warmUp++) {
            for (int i = 0; i < CLIENTS; i++) {
                if (warmUp == 0) {
                    clients.add(new Rig.Client(proxy.address));
                }
                clients.get(i).out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 100)));
                Rig.read(clients.get(i).in);
            }
        }
        if (rig.trouble) {
            proxy.terminate();
            Rig.start(() -> {
                Rig.sleep(SIGKILL_AFTER);
                proxy.kill();
            });
        }
        hangs[0] = rig.trouble;
        Rig.sleep(SENT_AFTER);
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger answered = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Rig.Client client = clients.get(i);
            String kind = i % 2 == 0 ? "settle" : "status";
            String id = rig.newId();
            client.out.write(Rig.bytes(Rig.request(kind, id, kind.equals("settle") ? 2000 : 1500, 100)));
            threads.add(Rig.start(() -> {
                try {
                    Rig.Message answer = Rig.read(client.in);
                    rig.note("client got " + (answer == null ? "the end of the connection" : answer.first
                            + ", " + answer.body.length + " bytes") + " for " + kind + " " + id);
                    (answer == null ? lost : answered).incrementAndGet();
                } catch (IOException e) {
                    rig.note("client got " + e + " for " + kind + " " + id);
                    lost.incrementAndGet();
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        rig.note(answered + " requests were answered, " + lost + " got no answer");
        proxy.kill();
        return lost.get();
    }

    private HedgedLongAnswer() { }
}
