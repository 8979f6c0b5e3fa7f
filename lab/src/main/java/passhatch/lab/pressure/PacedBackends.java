package passhatch.lab.pressure;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * Servers on loopback that read and write at the pace that the request's query asks for.
 *
 * <p>Query parameters: {@code length}, body bytes of the response; {@code framing}, {@code length},
 * {@code chunked} or {@code close}; {@code rate}, bytes a second that are written; {@code pauseAt} and
 * {@code pauseMs}, a pause after so many bytes; {@code readRate}, bytes a second that are read of the
 * request; {@code serviceMs}, time before the response; {@code refuse}, answers that it was not run;
 * {@code early}, does so without reading the body.
 */
final class PacedBackends implements Closeable {

    /** A request whose last byte has arrived. */
    record Arrival(String id, long atNs) { }

    private static final int PIECES_PER_SECOND = 20;
    private static final int MAX_PIECE_BYTES = 1 << 14;
    private static final int DEFAULT_SERVICE_MS = 5;
    private static final int SMALL_RECEIVE_BUFFER_BYTES = 1 << 14;

    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

    /** Starts servers on free ports. */
    PacedBackends(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            ServerSocket listener = new ServerSocket();
            listener.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1 << 10);
            listeners.add(listener);
            DaemonThreads.start(() -> accept(listener));
        }
    }

    List<InetSocketAddress> addresses() {
        return listeners.stream().map(listener -> (InetSocketAddress) listener.getLocalSocketAddress())
                .toList();
    }

    /** The requests that have arrived whole, in the order of arrival. */
    List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private void accept(ServerSocket listener) throws IOException {
        while (!listener.isClosed()) {
            Socket socket = listener.accept();
            DaemonThreads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream(), MAX_PIECE_BYTES);
            boolean open = true;
            while (open) {
                Map<String, String> head = readHead(input);
                Map<String, String> query = query(head.get(""));
                boolean readsBody = !query.containsKey("early");
                if (readsBody) {
                    readBody(input, head, number(query, "readRate", Integer.MAX_VALUE));
                }
                arrivals.add(new Arrival(head.get("x-request-id"), System.nanoTime()));
                TimeUnit.MILLISECONDS.sleep(number(query, "serviceMs", DEFAULT_SERVICE_MS));
                open = respond(socket.getOutputStream(), query) && readsBody;
            }
        }
    }

    /** Reads a head; its first line has an empty name. */
    static Map<String, String> readHead(InputStream input) throws IOException {
        Map<String, String> head = new HashMap<>();
        head.put("", readLine(input));
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            int colon = line.indexOf(':');
            head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        return head;
    }

    static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended");
            }
            line.append((char) next);
        }
        return line.toString().strip();
    }

    private static Map<String, String> query(String startLine) {
        Map<String, String> query = new HashMap<>();
        String uri = startLine.split(" ")[1];
        for (String parameter : uri.substring(uri.indexOf('?') + 1).split("&")) {
            int equals = parameter.indexOf('=');
            if (equals > 0) {
                query.put(parameter.substring(0, equals), parameter.substring(equals + 1));
            }
        }
        return query;
    }

    private static int number(Map<String, String> query, String name, int defaultValue) {
        return Integer.parseInt(query.getOrDefault(name, Integer.toString(defaultValue)));
    }

    private static void readBody(InputStream input, Map<String, String> head, int bytesPerSecond)
            throws IOException, InterruptedException {
        if ("chunked".equals(head.get("transfer-encoding"))) {
            for (int size = chunkSize(input); size > 0; size = chunkSize(input)) {
                readPaced(input, size, bytesPerSecond);
                readLine(input);
            }
            readLine(input);
        } else {
            readPaced(input, Integer.parseInt(head.getOrDefault("content-length", "0")), bytesPerSecond);
        }
    }

    private static int chunkSize(InputStream input) throws IOException {
        return Integer.parseInt(readLine(input), 16);
    }

    private static void readPaced(InputStream input, int bytes, int bytesPerSecond)
            throws IOException, InterruptedException {
        byte[] piece = new byte[Math.min(MAX_PIECE_BYTES, Math.max(1, bytesPerSecond / PIECES_PER_SECOND))];
        for (int left = bytes; left > 0;) {
            int read = input.read(piece, 0, Math.min(piece.length, left));
            if (read < 0) {
                throw new EOFException("the body ended early");
            }
            left -= read;
            if (bytesPerSecond < Integer.MAX_VALUE) {
                TimeUnit.MICROSECONDS.sleep(1_000_000L * read / bytesPerSecond);
            }
        }
    }

    /** Writes the response that the query asks for; returns whether the connection stays open. */
    private static boolean respond(OutputStream output, Map<String, String> query)
            throws IOException, InterruptedException {
        if (query.containsKey("refuse")) {
            output.write(ascii(REFUSAL));
            return true;
        }
        int length = number(query, "length", 8);
        String framing = query.getOrDefault("framing", "length");
        output.write(ascii("HTTP/1.1 200 OK\r\n" + switch (framing) {
            case "chunked" -> "Transfer-Encoding: chunked\r\n\r\n";
            case "close" -> "Connection: close\r\n\r\n";
            default -> "Content-Length: " + length + "\r\n\r\n";
        }));
        int rate = number(query, "rate", Integer.MAX_VALUE);
        int pauseAt = number(query, "pauseAt", length);
        int pieceBytes = Math.min(MAX_PIECE_BYTES, Math.max(1, rate / PIECES_PER_SECOND));
        for (int sent = 0; sent < length;) {
            int bytes = Math.min(pieceBytes, (sent < pauseAt ? pauseAt : length) - sent);
            writePiece(output, bytes, framing.equals("chunked"));
            sent += bytes;
            if (sent == pauseAt) {
                TimeUnit.MILLISECONDS.sleep(number(query, "pauseMs", 0));
            }
            if (rate < Integer.MAX_VALUE) {
                TimeUnit.MICROSECONDS.sleep(1_000_000L * bytes / rate);
            }
        }
        if (framing.equals("chunked")) {
            output.write(ascii("0\r\n\r\n"));
        }
        return !framing.equals("close");
    }

    private static void writePiece(OutputStream output, int bytes, boolean chunked) throws IOException {
        output.write(ascii((chunked ? Integer.toHexString(bytes) + "\r\n" : "") + "x".repeat(bytes)
                + (chunked ? "\r\n" : "")));
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
