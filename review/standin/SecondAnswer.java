import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One proxy in front of nine backends. Clients send one request at a time. A few answers, one in a hundred, are
 * followed by a second copy some milliseconds later. Each 200 has to carry the answer to its own request.
 */
public final class SecondAnswer {

    private static final int CLIENTS = 12;
    private static final int REQUESTS_PER_CLIENT = 200;
    private static final int SPOILT_ONE_IN = 100;
    private static final int SECOND_ANSWER_DELAY_MS = 5;
    private static final int DEADLINE_MS = 800;
    private static final int SERVICE_MS = 80;

    public static void main(String[] args) throws Exception {
        Standin.main(args, (record, trouble) -> {
            AtomicInteger answers = new AtomicInteger();
            AtomicInteger spoilt = new AtomicInteger();
            List<Standin.Backend> backends = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                backends.add(new Standin.Backend("s-5be2a07" + i, (backend, socket, request) -> {
                    String id = request.header("X-Request-Id");
                    record.line(backend.id + " runs " + id);
                    Standin.sleep(SERVICE_MS);
                    String text = "answer to " + id;
                    Standin.answer(socket, "200 OK", text);
                    if (trouble && answers.incrementAndGet() % SPOILT_ONE_IN == 0) {
                        spoilt.incrementAndGet();
                        Standin.start(() -> {
                            Standin.sleep(SECOND_ANSWER_DELAY_MS);
                            record.line(backend.id + " answers " + id + " a second time");
                            Standin.answer(socket, "200 OK", text);
                        });
                    }
                }));
            }
            Standin.Discovery discovery = new Standin.Discovery(record, backends);
            Standin.Proxy proxy = new Standin.Proxy(record, discovery, 0, 2, 384);
            if (!proxy.awaitReady()) {
                throw new IllegalStateException("the proxy is not ready");
            }
            AtomicInteger nextId = new AtomicInteger();
            AtomicInteger foreign = new AtomicInteger();
            AtomicInteger served = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(Standin.start(() -> {
                    Standin.Client client = new Standin.Client(proxy);
                    for (int n = 0; n < REQUESTS_PER_CLIENT; n++) {
                        String id = "r" + nextId.incrementAndGet();
                        record.line(id + " sent");
                        Standin.Message answer = client.get("/status/" + id, id, DEADLINE_MS);
                        if (answer == null) {
                            lost.incrementAndGet();
                            record.line(id + " LOST: no answer");
                        } else if (answer.status() == 200 && !answer.text().equals("answer to " + id)) {
                            foreign.incrementAndGet();
                            record.line(id + " FOREIGN: answered 200 '" + answer.text() + "'");
                        } else {
                            served.incrementAndGet();
                            record.line(id + " answered " + answer.status() + " '" + answer.text() + "'");
                        }
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            proxy.end();
            record.line(nextId + " requests sent, " + spoilt + " answers of backends came twice, " + foreign
                    + " requests got the answer to another one, " + lost + " got none");
            return foreign.get() == 0 && lost.get() == 0;
        });
    }
}
