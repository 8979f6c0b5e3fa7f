import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three proxies in front of 12 backends. While clients send a little traffic, a thirteenth backend is switched
 * on and discovery tells the proxies. Every request has to get a final answer.
 */
public final class ListOfThirteen {

    private static final String[] FIRST_TWELVE = {"s-d9886040", "s-498ec4b5", "s-2e6f4602", "s-0799cc35",
        "s-204a2f83", "s-62daf0ea", "s-a7a9a56a", "s-1c578df9", "s-e299e723", "s-30a57071", "s-a1786abc",
        "s-4485bfeb"};
    private static final String THIRTEENTH = "s-d1cfd29b";
    private static final int DEADLINE_MS = 800;
    private static final int BEFORE_MS = 5_000;
    private static final int AFTER_MS = 15_000;

    private static Standin.Backend backend(Standin.Record record, String id) throws Exception {
        return new Standin.Backend(id, (backend, socket, request) -> {
            record.line(backend.id + " runs " + request.header("X-Request-Id"));
            Standin.sleep(40);
            Standin.answer(socket, "200 OK", "answer to " + request.header("X-Request-Id"));
        });
    }

    public static void main(String[] args) throws Exception {
        Standin.main(args, (record, trouble) -> {
            List<Standin.Backend> backends = new ArrayList<>();
            for (String id : FIRST_TWELVE) {
                backends.add(backend(record, id));
            }
            Standin.Discovery discovery = new Standin.Discovery(record, backends);
            List<Standin.Proxy> proxies = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                proxies.add(new Standin.Proxy(record, discovery, i, 3, 384));
            }
            for (Standin.Proxy proxy : proxies) {
                if (!proxy.awaitReady()) {
                    throw new IllegalStateException("a proxy is not ready");
                }
            }
            AtomicInteger nextId = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            long endNs = System.nanoTime() + (BEFORE_MS + AFTER_MS) * 1_000_000L;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                Standin.Proxy proxy = proxies.get(i % 3);
                clients.add(Standin.start(() -> {
                    Standin.Client client = new Standin.Client(proxy);
                    while (System.nanoTime() < endNs) {
                        String id = "r" + nextId.incrementAndGet();
                        record.line(id + " sent to " + proxy.name);
                        Standin.Message answer = client.get("/status/" + id, id, DEADLINE_MS);
                        if (answer == null) {
                            lost.incrementAndGet();
                        }
                        record.line(id + (answer == null ? " LOST: no answer in " + DEADLINE_MS
                                + " ms and 0.5 s more" : " answered " + answer.status()));
                        Standin.sleep(100);
                    }
                }));
            }
            Standin.sleep(BEFORE_MS);
            if (trouble) {
                Standin.Backend thirteenth = backend(record, THIRTEENTH);
                thirteenth.sinceMs = System.currentTimeMillis();
                discovery.add(thirteenth);
            }
            for (Thread client : clients) {
                client.join();
            }
            for (Standin.Proxy proxy : proxies) {
                record.line("proxy " + proxy.name + (proxy.process.isAlive() ? " is running" : " has ended")
                        + ", processor time " + proxy.process.info().totalCpuDuration().orElse(null));
            }
            for (Standin.Proxy proxy : proxies) {
                proxy.end();
            }
            if (trouble) {
                // What an operator would try. It is recorded and does not count.
                Standin.Proxy restarted = new Standin.Proxy(record, discovery, 0, 3, 384);
                restarted.awaitReady();
                restarted.end();
            }
            record.line(nextId + " requests sent, " + lost + " lost");
            return lost.get() == 0;
        });
    }
}
