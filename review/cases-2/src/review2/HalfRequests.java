package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many clients stop in the middle of a request and stay, while others send whole requests. */
final class HalfRequests {

    private static final int DESCRIPTORS = 384;
    private static final int BAD_CLIENTS = 200;
    /** Requests of good clients, each on a new connection. */
    private static final int REQUESTS = 60;
    private static final double BETWEEN = 0.05;
    /** A client gives a try up after 50 to 60% of the 1.5 s of its class. */
    private static final int DEADLINE_MS = 900;
    /** A final answer may come half a second after the request's time, and every limit is 50 ms longer. */
    private static final double LIMIT = DEADLINE_MS / 1000.0 + 0.5 + 0.05;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            rig.sockets = DESCRIPTORS;
            Rig.Discovery discovery = rig.new Discovery();
            for (int i = 1; i <= 4; i++) {
                Rig.Server server = rig.new Server("s-" + i, rig.answerAfter(0.05));
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            Rig.Proxy proxy = rig.startProxy(discovery, Rig.settings("on_request", true, 100_000));
            for (int i = 0; i < 12; i++) {
                try (Rig.Client warm = new Rig.Client(proxy.address)) {
                    warm.out.write(Rig.bytes(Rig.request("status", rig.newId(), 1500, 0)));
                    Rig.read(warm.in);
                }
            }
            List<Rig.Client> bad = new ArrayList<>();
            for (int i = 0; i < BAD_CLIENTS && rig.trouble; i++) {
                Rig.Client client = new Rig.Client(proxy.address);
                client.out.write(Rig.bytes("GET /status/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Requ"));
                bad.add(client);
            }
            rig.note(bad.size() + " clients have sent half a request and stay");
            AtomicInteger inTime = new AtomicInteger();
            AtomicInteger shut = new AtomicInteger();
            AtomicInteger lost = new AtomicInteger();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                threads.add(Rig.start(() -> {
                    String id = rig.newId();
                    double sentAt = Rig.now();
                    String what;
                    try (Rig.Client client = new Rig.Client(proxy.address)) {
                        client.socket.setSoTimeout((int) (LIMIT * 1000));
                        client.out.write(Rig.bytes(Rig.request("status", id, DEADLINE_MS, 0)));
                        sentAt = Rig.now();
                        Rig.Message answer = Rig.read(client.in);
                        double after = Rig.now() - sentAt;
                        what = (answer == null ? "the end of the connection" : answer.first) + " after " + after;
                        (answer == null ? shut : after > LIMIT ? lost : inTime).incrementAndGet();
                    } catch (java.net.SocketTimeoutException e) {
                        what = "no answer in " + (Rig.now() - sentAt) + " s";
                        lost.incrementAndGet();
                    } catch (IOException e) {
                        what = e.toString();
                        shut.incrementAndGet();
                    }
                    rig.note("client got " + what + " for " + id);
                }));
                Rig.sleep(BETWEEN);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            int owed = 0;
            for (Rig.Client client : bad) {
                client.socket.setSoTimeout(1000);
                try {
                    Rig.Message answer = Rig.read(client.in);
                    owed += answer != null && answer.status() == 200 ? 1 : 0;
                } catch (IOException ended) {
                    owed += ended instanceof java.net.SocketTimeoutException ? 1 : 0;
                }
                client.close();
            }
            rig.note("of " + REQUESTS + " requests on new connections " + inTime + " were answered in time, " + shut
                    + " were shut unread, and " + lost + " got neither an answer nor a close; " + owed
                    + " of the bad clients got no error");
            if (inTime.get() == 0) {
                throw new Rig.CannotRun("nothing was answered");
            }
            return lost.get() == 0;
        });
    }

    private HalfRequests() { }
}
