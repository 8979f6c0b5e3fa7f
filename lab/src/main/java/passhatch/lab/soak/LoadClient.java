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
import passhatch.lab.soak.RunObservations.RequestOutcome;
import passhatch.lab.soak.RunObservations.Sent;

/** A client of one proxy that sends one request at a time on a persistent connection until it is stopped. */
final class LoadClient implements Runnable {

    /**
     * The client waits this long after the deadline; the protocol counts a response later than 0.5 s as lost.
     */
    static final Duration RESPONSE_SLACK = Duration.ofMillis(500);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    /** Part of the requests whose client disconnects without waiting for the response. */
    private static final double ABANDON_RATIO = 0.04;
    /** Part of these that send many small requests behind it, which are not looked at. */
    private static final double PIPELINE_RATIO = 0.3;
    private static final int PIPELINED_REQUESTS = 1_000;
    private static final int PIPELINED_PER_WRITE = 20;
    /** Part of the responses after which the client closes its connection. */
    private static final double CLOSE_RATIO = 0.05;
    /** Part of the requests with a deadline of 20 to 320 ms. */
    private static final double SHORT_DEADLINE_RATIO = 0.1;
    /** Longest line read from a response head. */
    private static final int MAX_LINE_CHARS = 1 << 12;
    private static final int RECONNECT_PAUSE_MS = 5;

    private final ProxyInstance proxy;
    private final RunObservations observations;
    private final SplittableRandom random;
    /** Decides on what is sent behind a request, so that the requests of a seed stay the same. */
    private final SplittableRandom pipelineRandom;
    private final int meanGapMs;
    private final int number;
    private long sentRequests;
    private Socket socket;
    private InputStream input;
    private boolean isNewConnection;
    private volatile boolean stopRequested;

    /**
     * Creates a client.
     *
     * @param number distinguishes the clients of one proxy
     * @param meanGapMs mean pause between requests in milliseconds
     */
    LoadClient(ProxyInstance proxy, int number, long seed, int meanGapMs, RunObservations observations) {
        this.proxy = proxy;
        this.number = number;
        this.random = new SplittableRandom(seed);
        this.pipelineRandom = new SplittableRandom(~seed);
        this.meanGapMs = meanGapMs;
        this.observations = observations;
    }

    /** Returns the body of a backend's response to the request with the given id. */
    static String responseBody(String id) {
        return "served " + id;
    }

    /** Ends the client after its current request. */
    void stop() {
        stopRequested = true;
    }

    @Override
    public void run() {
        try {
            while (!stopRequested) {
                TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(2 * meanGapMs));
                if (ensureConnected()) {
                    sendRequest();
                } else {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_PAUSE_MS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
    }

    private boolean ensureConnected() {
        if (socket != null) {
            return true;
        }
        if (!proxy.isAccepting()) {
            return false;
        }
        try {
            Socket opened = new Socket();
            opened.connect(proxy.address(), CONNECT_TIMEOUT_MS);
            opened.setTcpNoDelay(true);
            socket = opened;
            input = new BufferedInputStream(opened.getInputStream());
            isNewConnection = true;
            return true;
        } catch (IOException refused) {
            return false;
        }
    }

    private void sendRequest() throws InterruptedException {
        RequestKind kind = RequestKind.values()[random.nextInt(RequestKind.values().length)];
        String id = String.format("%04x%04x%08x", proxy.number() + 1, number, ++sentRequests);
        Duration timeLeft = random.nextDouble() < SHORT_DEADLINE_RATIO
                ? Duration.ofMillis(20 + random.nextInt(300)) : kind.deadline;
        boolean abandons = random.nextDouble() < ABANDON_RATIO;
        boolean firstOnConnection = isNewConnection;
        isNewConnection = false;
        long sentNs = System.nanoTime();
        long deadlineNs = sentNs + timeLeft.toNanos();
        Response response;
        try {
            socket.getOutputStream().write(kind.message(id, timeLeft).getBytes(StandardCharsets.US_ASCII));
            response = abandons ? abandon(id) : readResponse(id, deadlineNs + RESPONSE_SLACK.toNanos());
        } catch (IOException broken) {
            response = new Response(RequestOutcome.NOT_TAKEN, 0);
        }
        observations.add(new Sent(id, proxy.number(), kind, firstOnConnection, sentNs, deadlineNs,
                response.outcome, response.status, System.nanoTime()));
        if (response.outcome != RequestOutcome.ANSWERED || response.closesConnection
                || random.nextDouble() < CLOSE_RATIO) {
            close();
        }
    }

    private Response abandon(String id) throws InterruptedException, IOException {
        int stayMs = random.nextInt(100);
        if (pipelineRandom.nextDouble() < PIPELINE_RATIO) {
            sendBehind(id);
        }
        TimeUnit.MILLISECONDS.sleep(stayMs);
        close();
        return new Response(RequestOutcome.LEFT, 0);
    }

    private void sendBehind(String id) throws IOException {
        for (int sent = 0; sent < PIPELINED_REQUESTS; sent += PIPELINED_PER_WRITE) {
            StringBuilder requests = new StringBuilder();
            for (int i = sent; i < sent + PIPELINED_PER_WRITE; i++) {
                requests.append(RequestKind.READ.message(id + "-" + i, RequestKind.READ.deadline));
            }
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** The outcome of a request and whether its connection must be closed. */
    private static final class Response {
        private final RequestOutcome outcome;
        private final int status;
        private boolean closesConnection;

        Response(RequestOutcome outcome, int status) {
            this.outcome = outcome;
            this.status = status;
        }
    }

    private Response readResponse(String id, long untilNs) {
        try {
            String statusLine = readLine(untilNs);
            int status = Integer.parseInt(statusLine.split(" ")[1]);
            int length = 0;
            boolean closesConnection = false;
            for (String header = readLine(untilNs); !header.isEmpty(); header = readLine(untilNs)) {
                String lower = header.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).strip());
                }
                closesConnection |= lower.startsWith("connection:") && lower.endsWith("close");
            }
            String body = new String(input.readNBytes(length), StandardCharsets.US_ASCII);
            boolean forged = status == 200 && !body.equals(responseBody(id));
            Response response = new Response(forged ? RequestOutcome.FORGED : RequestOutcome.ANSWERED,
                    status);
            response.closesConnection = closesConnection;
            return response;
        } catch (SocketTimeoutException timedOut) {
            return new Response(RequestOutcome.NO_ANSWER, 0);
        } catch (IOException ended) {
            return new Response(RequestOutcome.CLOSED, 0);
        }
    }

    private String readLine(long untilNs) throws IOException {
        StringBuilder line = new StringBuilder();
        while (line.length() < MAX_LINE_CHARS) {
            long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNs - System.nanoTime());
            if (leftMs <= 0 && input.available() == 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) Math.max(1, leftMs));
            int next = input.read();
            if (next < 0) {
                throw new IOException("connection closed before the end of the response head");
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
            } catch (IOException ignored) {
                // The connection is not used again, so a failed close does not matter.
            }
            socket = null;
        }
    }
}
