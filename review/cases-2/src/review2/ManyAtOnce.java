package review2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A client sends many requests at once on one connection, to servers that are in order. */
final class ManyAtOnce {

    private static final int REQUESTS = 200;
    /** Without the disruption so many are sent at a time, the next ones when these are answered. */
    private static final int FEW = 10;
    private static final double SERVICE = 0.045;

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
                    warm.out.write(Rig.bytes(Rig.request("book", rig.newId(), 1500, 100)));
                    Rig.read(warm.in);
                }
            }
            Rig.Client client = new Rig.Client(proxy.address);
            int atOnce = rig.trouble ? REQUESTS : FEW;
            int answered = 0;
            int late = 0;
            boolean ended = false;
            for (int sent = 0; sent < REQUESTS && !ended; sent += atOnce) {
                List<String> ids = new ArrayList<>();
                StringBuilder all = new StringBuilder();
                for (int i = 0; i < atOnce; i++) {
                    ids.add(rig.newId());
                    all.append(Rig.request("book", ids.get(i), 1500, 100));
                }
                client.out.write(Rig.bytes(all.toString()));
                double sentAt = Rig.now();
                rig.note("client sent " + atOnce + " requests at once, " + ids.get(0) + " to "
                        + ids.get(atOnce - 1) + ", " + all.length() + " bytes");
                try {
                    for (int i = 0; i < atOnce && !ended; i++) {
                        Rig.Message answer = Rig.read(client.in);
                        if (answer == null) {
                            rig.note("client: the proxy ended the connection");
                            ended = true;
                        } else {
                            answered++;
                            late += answer.lastByteAt - sentAt > 1.5 + 0.5 + 0.05 ? 1 : 0;
                            rig.note("client got " + answer.first + " for " + ids.get(i)
                                    + (answer.header("Connection").isEmpty() ? "" : ", Connection: "
                                    + answer.header("Connection")));
                        }
                    }
                } catch (IOException e) {
                    rig.note("client: the connection broke: " + e);
                    ended = true;
                }
            }
            rig.note(answered + " of " + REQUESTS + " requests were answered, " + late + " of them late; "
                    + (REQUESTS - answered) + " got no answer");
            return answered == REQUESTS && late == 0;
        });
    }

    private ManyAtOnce() { }
}
