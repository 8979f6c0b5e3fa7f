package passhatch.lab.soak;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * Clients that fill a proxy's connections without a sound request: silent ones, and ones that stop within a
 * head or a body. Each connects again when the proxy closes it.
 */
final class Crowd implements Runnable, Closeable {

    private static final int ROUND_MS = 50;
    /** Connections opened in a round, so that a crowd does not come all at once. */
    private static final int MAX_CONNECTS_PER_ROUND = 20;
    private static final List<String> BEGINNINGS = List.of("", "GET /read/1 HTTP/1.1\r\nHost: crowd\r\n",
            "POST /unsafe/1 HTTP/1.1\r\nHost: crowd\r\nX-Request-Id: crowd\r\nContent-Length: 60000\r\n\r\n"
                    + "x".repeat(20_000),
            "GET /read/1 HTTP/1.1\r\nHost: crowd\r\n" + "a:b\r\n".repeat(100));

    private final ProxyInstance proxy;
    private final int size;
    private final SplittableRandom random;
    private final List<SocketChannel> connections = new ArrayList<>();
    private volatile boolean stopRequested;

    /**
     * Creates a crowd that does nothing yet.
     *
     * @param size connections that it tries to hold
     */
    Crowd(ProxyInstance proxy, int size, long seed) {
        this.proxy = proxy;
        this.size = size;
        this.random = new SplittableRandom(seed);
    }

    @Override
    public void run() {
        try {
            while (!stopRequested) {
                connections.removeIf(Crowd::hasEnded);
                for (int i = 0; i < MAX_CONNECTS_PER_ROUND && connections.size() < size; i++) {
                    connect();
                }
                TimeUnit.MILLISECONDS.sleep(ROUND_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connections.forEach(Crowd::close);
    }

    private void connect() {
        if (!proxy.isAccepting()) {
            return;
        }
        try {
            SocketChannel connection = SocketChannel.open(proxy.address());
            connections.add(connection);
            connection.configureBlocking(false);
            String beginning = BEGINNINGS.get(random.nextInt(BEGINNINGS.size()));
            connection.write(ByteBuffer.wrap(beginning.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException refused) {
            // The next round tries again.
        }
    }

    private static boolean hasEnded(SocketChannel connection) {
        try {
            ByteBuffer response = ByteBuffer.allocate(1 << 10);
            int read = connection.read(response);
            if (read >= 0) {
                return false;
            }
        } catch (IOException broken) {
            // It has ended all the same.
        }
        close(connection);
        return true;
    }

    private static void close(SocketChannel connection) {
        try {
            connection.close();
        } catch (IOException ignored) {
            // The connection is not used again.
        }
    }

    @Override
    public void close() {
        stopRequested = true;
    }
}
