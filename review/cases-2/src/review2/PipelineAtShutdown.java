package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client has sent many requests at once on one connection when a planned restart ends the proxy. */
final class PipelineAtShutdown {

    private static final int REQUESTS = 48;
    /** After SIGTERM the requests are sent; later than 0.7 s, earlier than the proxy closes connections. */
    private static final double SENT_AFTER = 1.4;
    /** The longest deadline of a class, 2 s, and 0.7 s. */
    private static final double SIGKILL_AFTER = 2.75;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Rig.Discovery discovery = rig.new Discovery();
            List<Rig.Server> servers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Rig.Server server = rig.new Server("s-" + i, rig.answerAfter(0.11));
                servers.add(server);
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            Rig.Proxy proxy = rig.startProxy(discovery, Rig.settings("on_request", true, 100_000));
            for (int i = 0; i < 12; i++) {
                try (Rig.Client warm = new Rig.Client(proxy.address)) {
                    warm.out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 100)));
                    Rig.read(warm.in);
                }
            }
            Rig.Client client = new Rig.Client(proxy.address);
            client.out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 100)));
            Rig.read(client.in);
            double term = Rig.now();
            if (rig.trouble) {
                proxy.terminate();
                Rig.start(() -> {
                    Rig.sleep(SIGKILL_AFTER);
                    proxy.kill();
                });
            }
            Rig.sleep(SENT_AFTER);
            List<String> ids = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < REQUESTS; i++) {
                ids.add(rig.newId());
                all.append(Rig.request("settle", ids.get(i), 2000, 100));
            }
            client.out.write(Rig.bytes(all.toString()));
            double sent = Rig.now();
            rig.note("client sent " + REQUESTS + " requests at once, " + ids.get(0) + " to "
                    + ids.get(REQUESTS - 1) + ", " + all.length() + " bytes, " + (sent - term)
                    + " s after SIGTERM");
            int answered = 0;
            int late = 0;
            try {
                for (; answered < REQUESTS; answered++) {
                    Rig.Message answer = Rig.read(client.in);
                    if (answer == null) {
                        rig.note("client: the proxy ended the connection");
                        break;
                    }
                    late += answer.lastByteAt - sent > 2.0 + 0.5 + 0.05 ? 1 : 0;
                    rig.note("client got " + answer.first + " for " + ids.get(answered)
                            + (answer.header("Connection").isEmpty() ? "" : ", Connection: "
                            + answer.header("Connection")));
                }
            } catch (IOException e) {
                rig.note("client: the connection broke: " + e);
            }
            Rig.sleep(0.5);
            long runUnanswered = 0;
            for (String id : ids.subList(answered, REQUESTS)) {
                runUnanswered += servers.stream().flatMap(s -> s.requests.stream())
                        .filter(r -> r.header("X-Request-Id").equals(id)).count();
            }
            rig.note(answered + " of " + REQUESTS + " requests were answered, " + late + " of them late; "
                    + (REQUESTS - answered) + " got no answer, " + runUnanswered
                    + " of these had been sent to a server");
            if (answered == 0) {
                throw new Rig.CannotRun("the connection was not open any more");
            }
            return answered == REQUESTS && late == 0;
        });
    }

    private PipelineAtShutdown() { }
}
