package passhatch.lab.pressure;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;

/** A client's connection to the proxy, and the result of calls on it. */
final class HttpCall implements Closeable {

    /** How a request ended for its client. */
    enum Ending {
        /** A whole 200 response in time. */
        SERVED,
        /** A whole response of another status in time. */
        NOT_SERVED,
        /** The response came later than half a second after the client's time, or never. */
        LATE,
        /** The connection ended without a response, or within it. */
        CLOSED
    }

    /**
     * The end of a request.
     *
     * @param status status of the response; 0 if there was none
     * @param lateMs how long after the client's time the response ended, in milliseconds; negative in time
     */
    record Result(Ending ending, int status, long lateMs) { }

    /** A final response may come so much later than the client's time. */
    static final Duration RESPONSE_SLACK = Duration.ofMillis(500);
    private static final int CONNECT_TIMEOUT_MS = 3_000;

    final Socket socket = new Socket();
    private InputStream input;

    /** Connects; the receive buffer has the size if it is above 0. */
    HttpCall(InetSocketAddress address, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(address, CONNECT_TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    static String get(String path, String id, Duration time) {
        return "GET " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nX-Deadline: "
                + time.toMillis() + "m\r\n\r\n";
    }

    /** The head of a POST; a negative length means chunks. */
    static String postHead(String path, String id, Duration time, long length) {
        String key = path.startsWith("/book") ? "Idempotency-Key: " + id + "\r\n" : "";
        String framing = length < 0 ? "Transfer-Encoding: chunked" : "Content-Length: " + length;
        return "POST " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nX-Deadline: "
                + time.toMillis() + "m\r\n" + key + framing + "\r\n\r\n";
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(PacedBackends.ascii(text));
    }

    /**
     * Reads the response to a request whose last byte was sent at the given time.
     *
     * @param time how long its client waits
     * @param patience how long to wait for the end of the response beyond that
     */
    Result read(long sentNs, Duration time, Duration patience) {
        int status = 0;
        try {
            socket.setSoTimeout((int) time.plus(patience).toMillis());
            Map<String, String> head = PacedBackends.readHead(input);
            status = Integer.parseInt(head.get("").split(" ")[1]);
            readBody(head);
        } catch (SocketTimeoutException timedOut) {
            return new Result(Ending.LATE, status, lateMs(sentNs, time));
        } catch (IOException broken) {
            return new Result(Ending.CLOSED, status, lateMs(sentNs, time));
        }
        long lateMs = lateMs(sentNs, time);
        return new Result(lateMs > RESPONSE_SLACK.toMillis() ? Ending.LATE
                : status == 200 ? Ending.SERVED : Ending.NOT_SERVED, status, lateMs);
    }

    private static long lateMs(long sentNs, Duration time) {
        return Duration.ofNanos(System.nanoTime() - sentNs).minus(time).toMillis();
    }

    private void readBody(Map<String, String> head) throws IOException {
        if ("chunked".equals(head.get("transfer-encoding"))) {
            for (int size = -1; size != 0;) {
                size = Integer.parseInt(PacedBackends.readLine(input), 16);
                skip(size);
                PacedBackends.readLine(input);
            }
        } else if (head.containsKey("content-length")) {
            skip(Integer.parseInt(head.get("content-length")));
        } else {
            input.transferTo(java.io.OutputStream.nullOutputStream());
        }
    }

    private void skip(int bytes) throws IOException {
        if (input.readNBytes(bytes).length < bytes) {
            throw new EOFException("the response is not whole");
        }
    }

    /** Reads at most so many bytes; returns a negative number at the end of the connection. */
    int readSome(byte[] buffer) throws IOException {
        return input.read(buffer);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
