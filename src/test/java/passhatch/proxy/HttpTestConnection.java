package passhatch.proxy;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** One end of an HTTP/1.1 connection, on which a test reads messages and writes arbitrary bytes. */
final class HttpTestConnection implements Closeable {

    /** How long tests wait for something that must happen. */
    static final int TIMEOUT_MS = 20_000;

    /**
     * A request or a response as it was received.
     *
     * @param headers by name in lower case
     */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        /** The status code of a response. */
        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        /** The value of a header whose name may be in any case; null if it is missing. */
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** The body as text. */
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    final Socket socket;
    private final InputStream input;

    /** Wraps a connected socket. */
    HttpTestConnection(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        this.input = new BufferedInputStream(socket.getInputStream());
    }

    /** Opens a connection to the address. */
    static HttpTestConnection connect(InetSocketAddress address) throws IOException {
        return new HttpTestConnection(new Socket(address.getAddress(), address.getPort()));
    }

    /** Sends the text in UTF-8. */
    void write(String text) throws IOException {
        write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends the bytes. */
    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Sends a response with a body of ASCII characters. */
    void respond(String status, String body) throws IOException {
        write("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /**
     * Reads one message with a body framed as its headers say, by a length or in chunks; null at the end of
     * the connection.
     *
     * @throws EOFException if the connection ends within the body
     */
    Message read() throws IOException {
        String startLine = readLine();
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = "chunked".equals(headers.get("transfer-encoding")) ? readChunks()
                : readExactly(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(startLine, headers, body);
    }

    private byte[] readChunks() throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String sizeLine = readLine();
            if (sizeLine == null) {
                throw new EOFException("the connection ended between two chunks of a message");
            }
            int size = Integer.parseInt(sizeLine, 16);
            body.write(readExactly(size));
            readLine();
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private byte[] readExactly(int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended within the body of a message");
        }
        return bytes;
    }

    /** The received bytes that have not been read yet. */
    InputStream input() {
        return input;
    }

    /** Reads one line without its line break; null at the end of the connection. */
    String readLine() throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int nextByte = input.read(); nextByte != '\n'; nextByte = input.read()) {
            if (nextByte < 0) {
                return null;
            }
            line.write(nextByte);
        }
        return line.toString(StandardCharsets.UTF_8).strip();
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
