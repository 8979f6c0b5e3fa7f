package passhatch.proxy;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import passhatch.proxy.HttpTestConnection.Message;

/** A server on the loopback interface, backend or discovery, that handles each request by its script. */
final class ScriptedServer implements Closeable {

    /** Handles the requests that the server receives. */
    interface Script {
        /** Handles one request, on the thread that reads its connection. */
        void handle(HttpTestConnection connection, Message request) throws IOException, InterruptedException;
    }

    /** Leaves each request without a response. */
    static final Script NO_RESPONSE = (connection, request) -> { };

    final BlockingQueue<Message> receivedRequests = new LinkedBlockingQueue<>();
    final BlockingQueue<HttpTestConnection> closedConnections = new LinkedBlockingQueue<>();
    final AtomicInteger connectionCount = new AtomicInteger();
    private final ServerSocket serverSocket;
    private final Script script;

    ScriptedServer(Script script) throws IOException {
        this.script = script;
        this.serverSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(this::accept);
    }

    /** A backend that responds to every request with status 200 and the given text. */
    static ScriptedServer respondingWith(String text) throws IOException {
        return new ScriptedServer((connection, request) -> connection.respond("200 OK", text));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /**
     * Waits for the next request and returns it.
     *
     * @throws AssertionError if none is received in time
     */
    Message nextRequest() throws InterruptedException {
        Message message = receivedRequests.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (message == null) {
            throw new AssertionError("no request was received");
        }
        return message;
    }

    /**
     * Waits until a connection has been closed or has failed, and its reader has noticed.
     *
     * @throws AssertionError if that does not happen in time
     */
    void awaitClosedConnection() throws InterruptedException {
        if (closedConnections.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS) == null) {
            throw new AssertionError("no connection was closed");
        }
    }

    private void accept() {
        try {
            while (true) {
                HttpTestConnection connection = new HttpTestConnection(serverSocket.accept());
                connectionCount.incrementAndGet();
                startDaemonThread(() -> serve(connection));
            }
        } catch (IOException closed) {
            // The test has closed the server socket.
        }
    }

    private void serve(HttpTestConnection connection) {
        try {
            for (Message message = connection.read(); message != null; message = connection.read()) {
                receivedRequests.add(message);
                script.handle(connection, message);
            }
        } catch (IOException | InterruptedException broken) {
            // Tests check what was received, not how connections fail.
        }
        closedConnections.add(connection);
    }

    /** Runs the body on a new thread that does not keep the test process alive. */
    static void startDaemonThread(Runnable body) {
        Thread thread = new Thread(body);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }
}
