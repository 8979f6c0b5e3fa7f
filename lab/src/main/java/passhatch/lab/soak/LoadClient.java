package passhatch.lab.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import passhatch.lab.soak.Ledger.End;
import passhatch.lab.soak.Ledger.Sent;

/** A client of one proxy: one request at a time on a connection that it keeps, until it is told to end. */
final class LoadClient implements Runnable {

    /** Past its time an answer is still waited for so long; more than the rule's half a second is lost. */
    static final Duration ANSWER_SLACK = Duration.ofMillis(500);
    private static final int CONNECT_MS = 1_000;
    private static final double LEAVES = 0.04;
    private static final double CLOSES = 0.05;
    private static final double SHORT_OF_TIME = 0.1;
    private static final int MOST_LINE = 1 << 12;
    private static final int PAUSE_MS = 5;

    private final ProxyInstance proxy;
    private final Ledger ledger;
    private final SplittableRandom random;
    private final int meanGapMs;
    private final int number;
    private long sent;
    private Socket socket;
    private InputStream in;
    private boolean fresh;
    private volatile boolean ends;

    LoadClient(ProxyInstance proxy, int number, long seed, int meanGapMs, Ledger ledger) {
        this.proxy = proxy;
        this.number = number;
        this.random = new SplittableRandom(seed);
        this.meanGapMs = meanGapMs;
        this.ledger = ledger;
    }

    /** What a backend answers to a request, by its id. */
    static String answerTo(String id) {
        return "served " + id;
    }

    void end() {
        ends = true;
    }

    @Override
    public void run() {
        try {
            while (!ends) {
                TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(2 * meanGapMs));
                if (isConnected()) {
                    request();
                } else {
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private boolean isConnected() {
        if (socket != null) {
            return true;
        }
        if (!proxy.isAccepting()) {
            return false;
        }
        try {
            Socket opened = new Socket();
            opened.connect(proxy.address(), CONNECT_MS);
            opened.setTcpNoDelay(true);
            socket = opened;
            in = new BufferedInputStream(opened.getInputStream());
            fresh = true;
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    private void request() throws InterruptedException {
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        String id = String.format("%04x%04x%08x", proxy.number() + 1, number, ++sent);
        Duration left = random.nextDouble() < SHORT_OF_TIME
                ? Duration.ofMillis(20 + random.nextInt(300)) : kind.deadline;
        boolean leaves = random.nextDouble() < LEAVES;
        boolean onFresh = fresh;
        fresh = false;
        long sentNs = System.nanoTime();
        long deadlineNs = sentNs + left.toNanos();
        Reply reply;
        try {
            socket.getOutputStream().write(kind.message(id, left).getBytes(StandardCharsets.US_ASCII));
            reply = leaves ? leave() : read(id, deadlineNs + ANSWER_SLACK.toNanos());
        } catch (IOException broken) {
            reply = new Reply(End.NOT_TAKEN, 0);
        }
        ledger.add(new Sent(id, proxy.number(), kind, onFresh, sentNs, deadlineNs, reply.end, reply.status,
                System.nanoTime()));
        if (reply.end != End.ANSWERED || reply.closes || random.nextDouble() < CLOSES) {
            close();
        }
    }

    private Reply leave() throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
        close();
        return new Reply(End.LEFT, 0);
    }

    /** How a request ended, and whether its connection does too. */
    private static final class Reply {
        private final End end;
        private final int status;
        private boolean closes;

        Reply(End end, int status) {
            this.end = end;
            this.status = status;
        }
    }

    private Reply read(String id, long untilNs) {
        try {
            String start = line(untilNs);
            int status = Integer.parseInt(start.split(" ")[1]);
            int length = 0;
            boolean closes = false;
            for (String header = line(untilNs); !header.isEmpty(); header = line(untilNs)) {
                String lower = header.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip());
                }
                closes |= lower.startsWith("connection:") && lower.endsWith("close");
            }
            String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
            boolean forged = status == 200 && !body.equals(answerTo(id));
            Reply reply = new Reply(forged ? End.FORGED : End.ANSWERED, status);
            reply.closes = closes;
            return reply;
        } catch (SocketTimeoutException late) {
            return new Reply(End.NO_ANSWER, 0);
        } catch (IOException ended) {
            return new Reply(End.CLOSED, 0);
        }
    }

    private String line(long untilNs) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < MOST_LINE) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            if (leftMs <= 0 && in.available() == 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) Math.max(1, leftMs));
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection ended");
            }
            if (next == '\n') {
                break;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    private void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException closed) {
                // It is gone either way.
            }
            socket = null;
        }
    }
}
