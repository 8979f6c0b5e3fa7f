package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Now and then a server answers a request twice, the second time some milliseconds after the first. */
final class SecondAnswer {

    private static final int CLIENTS = 3;
    private static final double SECONDS = 20;
    /** One answer in this many comes twice. */
    private static final int ONE_IN = 20;
    private static final double LATE = 0.004;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger twice = new AtomicInteger();
            Rig.Discovery discovery = rig.new Discovery();
            for (int i = 1; i <= 4; i++) {
                Rig.Server server = rig.new Server("s-" + i, (request, connection) -> {
                    Rig.sleep(0.05);
                    byte[] answer = Rig.answer(200, "", Rig.bytes("answer-to-"
                            + request.header("X-Request-Id")));
                    connection.getOutputStream().write(answer);
                    if (rig.trouble && answers.incrementAndGet() % ONE_IN == 0) {
                        Rig.sleep(LATE);
                        twice.incrementAndGet();
                        rig.note("the answer to " + request.header("X-Request-Id") + " is sent again");
                        connection.getOutputStream().write(answer);
                    }
                });
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            Rig.Proxy proxy = rig.startProxy(discovery, Rig.settings("on_request", true, 100_000));
            AtomicInteger served = new AtomicInteger();
            AtomicInteger foreign = new AtomicInteger();
            AtomicInteger others = new AtomicInteger();
            double end = Rig.now() + SECONDS;
            List<Thread> clients = new ArrayList<>();
            for (int c = 0; c < CLIENTS; c++) {
                clients.add(Rig.start(() -> {
                    Rig.Client client = null;
                    while (Rig.now() < end) {
                        String id = rig.newId();
                        try {
                            client = client == null ? new Rig.Client(proxy.address) : client;
                            client.out.write(Rig.bytes(Rig.request("status", id, 1500, 0)));
                            Rig.Message answer = Rig.read(client.in);
                            if (answer == null) {
                                client.close();
                                client = null;
                            } else if (answer.status() != 200) {
                                others.incrementAndGet();
                                rig.note("client got " + answer.first + " for " + id);
                            } else if (answer.text().equals("answer-to-" + id)) {
                                served.incrementAndGet();
                            } else {
                                foreign.incrementAndGet();
                                rig.note("client got 200 with '" + answer.text() + "' for " + id);
                            }
                            if (answer != null && answer.header("Connection").equals("close")) {
                                client.close();
                                client = null;
                            }
                        } catch (IOException e) {
                            rig.note("client: " + e);
                            client = null;
                        }
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            rig.note(served + " requests got their own answer, " + foreign + " the answer to another request, "
                    + others + " another status; " + twice + " answers were sent twice");
            if (served.get() == 0 || rig.trouble && twice.get() == 0) {
                throw new Rig.CannotRun("nothing was served, or no answer came twice");
            }
            return foreign.get() == 0;
        });
    }

    private SecondAnswer() { }
}
