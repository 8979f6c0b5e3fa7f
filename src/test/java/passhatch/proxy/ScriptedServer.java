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

/** A small backend, or discovery, on loopback that does with each request what its script says. */
final class ScriptedServer implements Closeable {

    /** What to do with one request. */
    interface Script {
        void handle(HttpTestConnection connection, Message request) throws IOException, InterruptedException;
    }

    /** Leaves the request without an answer. */
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

    /** A backend that answers every request with its own text. */
    static ScriptedServer respondingWith(String text) throws IOException {
        return new ScriptedServer((connection, request) -> connection.respond("200 OK", text));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /** The next request received. */
    Message nextRequest() throws InterruptedException {
        Message message = receivedRequests.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (message == null) {
            throw new AssertionError("no request came");
        }
        return message;
    }

    /** Waits until the other side has ended a connection. */
    void awaitClosedConnection() throws InterruptedException {
        if (closedConnections.poll(HttpTestConnection.TIMEOUT_MS, TimeUnit.MILLISECONDS) == null) {
            throw new AssertionError("no connection was ended");
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
            // The test is over.
        }
    }

    private void serve(HttpTestConnection connection) {
        try {
            for (Message message = connection.read(); message != null; message = connection.read()) {
                receivedRequests.add(message);
                script.handle(connection, message);
            }
        } catch (IOException | InterruptedException broken) {
            // Tests look at what was received, not at how connections break.
        }
        closedConnections.add(connection);
    }

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
