package review2;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A client sends many requests at once on one connection and closes it. */
final class SendAndGo {

    private static final int REQUESTS = 400;
    private static final int ROUNDS = 8;
    private static final double SERVICE = 0.17;
    /** An attempt may begin so long after the close: 0.1 s, and the 50 ms by which every limit is longer. */
    private static final double LIMIT = 0.15;

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Rig.Discovery discovery = rig.new Discovery();
            List<Rig.Server> servers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Rig.Server server = rig.new Server("s-" + i, rig.answerAfter(SERVICE));
                servers.add(server);
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            Rig.Proxy proxy = rig.startProxy(discovery, Rig.settings("on_request", true, 100_000));
            for (int i = 0; i < 12; i++) {
                try (Rig.Client warm = new Rig.Client(proxy.address)) {
                    warm.out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 10)));
                    Rig.read(warm.in);
                }
            }
            int broken = 0;
            int attempts = 0;
            for (int round = 0; round < ROUNDS; round++) {
                Set<String> ids = new HashSet<>();
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < REQUESTS; i++) {
                    String id = rig.newId();
                    ids.add(id);
                    all.append(Rig.request("settle", id, 2000, 10));
                }
                Rig.Client client = new Rig.Client(proxy.address);
                client.out.write(Rig.bytes(all.toString()));
                double closedAt = Double.MAX_VALUE;
                if (rig.trouble) {
                    client.close();
                    closedAt = Rig.now();
                }
                rig.note("client sent " + REQUESTS + " requests, " + all.length() + " bytes"
                        + (rig.trouble ? ", and closed its connection" : ""));
                Rig.sleep(2.7);
                client.close();
                for (Rig.Server server : servers) {
                    for (Rig.Message request : server.requests) {
                        if (ids.contains(request.header("X-Request-Id"))) {
                            attempts++;
                            double after = request.firstByteAt - closedAt;
                            if (after > LIMIT) {
                                broken++;
                                rig.note("the attempt of " + request.header("X-Request-Id") + " at "
                                        + server.name + " began " + after + " s after the close");
                            }
                        }
                    }
                }
            }
            rig.note(attempts + " attempts, " + broken + " began more than " + LIMIT
                    + " s after their client's close");
            if (attempts == 0) {
                throw new Rig.CannotRun("no attempt was made");
            }
            return broken == 0;
        });
    }

    private SendAndGo() { }
}
