package review2;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** An operator empties the proxy while a client with several requests out on one connection gets long answers. */
final class DrainWhileStreaming {

    private static final int ROUNDS = 5;
    private static final int FIRST_BYTES = 100_000;
    private static final int SECOND_BYTES = 1_000_000;
    /** The client takes about a megabyte a second. */
    private static final int PIECE = 10_000;
    private static final double PAUSE = 0.01;
    /** The third request is sent when so much of the first answer has been read. */
    private static final int READ_BEFORE_THIRD = 50_000;

    /** An answer as far as it was read. */
    private static final class Answer {
        String first = "";
        boolean closes;
        int bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString();
    }

    /** Reads an answer slowly, and runs the action when the given part of its body has been read. */
    private static Answer readSlowly(InputStream in, int actAfter, Rig.Handler action) throws IOException {
        Answer answer = new Answer();
        answer.first = line(in);
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            }
            answer.closes |= lower.startsWith("connection:") && lower.contains("close");
        }
        boolean acted = false;
        while (answer.bytes < length) {
            byte[] piece = in.readNBytes(Math.min(PIECE, length - answer.bytes));
            if (piece.length == 0) {
                throw new EOFException("the connection ended within an answer, after " + answer.bytes + " of "
                        + length + " bytes");
            }
            answer.bytes += piece.length;
            if (!acted && answer.bytes >= actAfter) {
                acted = true;
                action.handle(null, null);
            }
            Rig.sleep(PAUSE);
        }
        return answer;
    }

    private static void console(Rig rig, Rig.Proxy proxy, String call) throws IOException {
        try (Rig.Client operator = new Rig.Client(proxy.console)) {
            operator.out.write(Rig.bytes("POST /control/" + call + " HTTP/1.1\r\nHost: console\r\n"
                    + "Content-Length: 0\r\n\r\n"));
            rig.note("operator: " + call + ": " + Rig.read(operator.in).first);
        }
    }

    private static long runs(List<Rig.Server> servers, String id) {
        return servers.stream().flatMap(server -> server.requests.stream())
                .filter(request -> request.header("X-Request-Id").equals(id)).count();
    }

    public static void main(String[] args) {
        Rig.main(args, rig -> {
            Rig.Discovery discovery = rig.new Discovery();
            List<Rig.Server> servers = new ArrayList<>();
            for (int i = 1; i <= 4; i++) {
                Rig.Server server = rig.new Server("s-" + i, (request, connection) -> {
                    Rig.sleep(0.03);
                    int bytes = request.path().endsWith("first") ? FIRST_BYTES
                            : request.path().endsWith("second") ? SECOND_BYTES : 10;
                    connection.getOutputStream().write(Rig.answer(200, "", new byte[bytes]));
                });
                servers.add(server);
                discovery.set(server.name, server.address(), "SERVING", 0);
            }
            Rig.Proxy proxy = rig.new Proxy(discovery, Rig.settings("on_request", true, 100_000),
                    "127.0.0.1:" + Rig.freePort(), "127.0.0.1:" + Rig.freePort(), rig.temp.resolve("tmp"));
            proxy.awaitReady();
            for (int i = 0; i < 12; i++) {
                try (Rig.Client warm = new Rig.Client(proxy.address)) {
                    warm.out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 10)));
                    Rig.read(warm.in);
                }
            }
            int lost = 0;
            int twice = 0;
            for (int round = 0; round < ROUNDS; round++) {
                Rig.Client client = new Rig.Client(proxy.address);
                client.out.write(Rig.bytes(Rig.request("settle", rig.newId(), 2000, 10)));
                Rig.read(client.in);
                if (rig.trouble) {
                    console(rig, proxy, "out-of-service");
                }
                String first = rig.newId();
                String second = rig.newId();
                String third = rig.newId();
                client.out.write(Rig.bytes(
                        Rig.request("status", first, 1500, 0).replace("/status/" + first, "/status/first")
                        + Rig.request("status", second, 1500, 0).replace("/status/" + second, "/status/second")));
                rig.note("client sent " + first + " and " + second);
                double[] sentAt = new double[1];
                boolean closes = false;
                boolean answered = false;
                try {
                    Answer one = readSlowly(client.in, READ_BEFORE_THIRD, (none, nothing) -> {
                        client.out.write(Rig.bytes(Rig.request("settle", third, 2000, 10)));
                        sentAt[0] = Rig.now();
                        rig.note("client sent " + third + " while it reads the answer to " + first);
                    });
                    rig.note("client got " + one.first + ", " + one.bytes + " bytes, for " + first
                            + (one.closes ? ", Connection: close" : ""));
                    closes = one.closes;
                    Answer two = readSlowly(client.in, Integer.MAX_VALUE, null);
                    rig.note("client got " + two.first + ", " + two.bytes + " bytes, for " + second
                            + (two.closes ? ", Connection: close" : ""));
                    Rig.Message three = Rig.read(client.in);
                    answered = three != null && Rig.now() - sentAt[0] < 2.55;
                    rig.note("client got " + (three == null ? "the end of the connection" : three.first + " after "
                            + (Rig.now() - sentAt[0]) + " s") + " for " + third);
                } catch (IOException e) {
                    rig.note("client: " + e);
                }
                if (sentAt[0] == 0 || closes) {
                    throw new Rig.CannotRun("the connection did not stay open long enough");
                }
                long ran = runs(servers, third);
                if (!answered) {
                    rig.note(third + " was sent to a server " + ran + " time(s) and got no answer");
                    lost += ran > 0 ? 1 : 0;
                    // A request that crosses the close of a connection is sent once more on a new one.
                    try (Rig.Client again = new Rig.Client(proxy.address)) {
                        again.out.write(Rig.bytes(Rig.request("settle", third, 2000, 10)));
                        Rig.Message answer = Rig.read(again.in);
                        rig.note("client sent " + third + " once more and got "
                                + (answer == null ? "no answer" : answer.first));
                    }
                    ran = runs(servers, third);
                    rig.note(third + " was sent to a server " + ran + " time(s)");
                    twice += ran > 1 ? 1 : 0;
                }
                client.close();
                if (rig.trouble) {
                    console(rig, proxy, "in-service");
                    Rig.sleep(0.3);
                }
            }
            rig.note("of " + ROUNDS + " requests, " + lost + " reached a server and got no answer, and " + twice
                    + " ran twice after the client had sent them once more");
            return lost == 0 && twice == 0;
        });
    }

    private DrainWhileStreaming() { }
}
