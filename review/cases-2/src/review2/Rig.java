package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** Stand-ins for discovery, servers and clients, and control of the project's own processes. */
final class Rig implements AutoCloseable {

    /** Thrown if the case could not be run as intended; the script then ends with status 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1L;

        CannotRun(String message) {
            super(message);
        }
    }

    static final long START_NS = System.nanoTime();
    private final PrintWriter record;
    final Path temp;
    final Path root;
    final boolean trouble;
    /** Descriptors that the configuration allows a proxy. */
    int sockets = 512;
    private final List<AutoCloseable> closeables = new ArrayList<>();
    private final AtomicLong ids = new AtomicLong();
    private final String run = Long.toHexString(System.currentTimeMillis());

    Rig(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")));
        temp = Files.createTempDirectory("review");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        note("TROUBLE=" + (trouble ? 1 : 0));
    }

    static double now() {
        return (System.nanoTime() - START_NS) / 1e9;
    }

    synchronized void note(String text) {
        record.printf(Locale.ROOT, "%9.4f %s%n", now(), text);
        record.flush();
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep(Math.max(0, Math.round(seconds * 1000)));
        } catch (InterruptedException e) {
            throw new CannotRun("interrupted");
        }
    }

    static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    String newId() {
        return String.format("%s%06x", run.substring(Math.max(0, run.length() - 10)), ids.incrementAndGet());
    }

    @Override
    public void close() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.get(i).close();
        }
        record.close();
        try (Stream<Path> files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- messages

    /** A message of HTTP as it was read. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = {};
        /** When its first byte was read, in seconds. */
        double firstByteAt;
        /** When its last byte was read, in seconds. */
        double lastByteAt;

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String path() {
            return first.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within a head, after '" + line + "'");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message; null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Message message = new Message();
        message.firstByteAt = now();
        message.first = readLine(in);
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in), 16); size > 0;
                    size = Integer.parseInt(readLine(in), 16)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            readLine(in);
            message.body = body.toByteArray();
        } else if (!message.header("Content-Length").isEmpty()) {
            message.body = readFully(in, Integer.parseInt(message.header("Content-Length")));
        }
        message.lastByteAt = now();
        return message;
    }

    private static byte[] readFully(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the connection ended within a body, after " + bytes.length + " of " + size
                    + " bytes");
        }
        return bytes;
    }

    static byte[] answer(int status, String extraHeaders, byte[] body) {
        byte[] head = ("HTTP/1.1 " + status + " " + (status == 200 ? "OK" : "Error") + "\r\nContent-Length: "
                + body.length + "\r\n" + extraHeaders + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- discovery

    /** Discovery: one list, whole or as a watch. */
    final class Discovery implements AutoCloseable {
        private ServerSocket listener;
        private final List<Socket> calls = new CopyOnWriteArrayList<>();
        /** Time in seconds until a call is answered. */
        volatile double answersAfter;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final Map<String, Integer> changedAt = new LinkedHashMap<>();
        private int version = 1;

        Discovery() throws IOException {
            closeables.add(this);
            listen();
        }

        private void listen() throws IOException {
            ServerSocket opened = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            listener = opened;
            start(() -> acceptAll(opened));
        }

        /**
         * Moves to a new address. The old one takes no new connections, and its open ones are closed after
         * 1.5 s.
         */
        void move() throws IOException {
            listener.close();
            List<Socket> old = List.copyOf(calls);
            start(() -> {
                sleep(1.5);
                for (Socket socket : old) {
                    try {
                        socket.close();
                    } catch (IOException e) {
                        note("discovery: " + e);
                    }
                }
            });
            listen();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized void set(String name, String address, String status, long sinceMs) {
            version++;
            entries.put(name, "{\"name\":\"" + name + "\",\"address\":\"" + address
                    + "\",\"zone\":\"dc1\",\"type\":\"front-std\",\"group\":1,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}");
            changedAt.put(name, version);
            note("discovery: version " + version + ": " + name + " is " + status);
            notifyAll();
        }

        private synchronized String list(int after) {
            List<String> shown = new ArrayList<>();
            entries.forEach((name, entry) -> {
                if (changedAt.get(name) > after && !(after < 0 && entry.contains("DELETED"))) {
                    shown.add(entry);
                }
            });
            return "{\"index\":" + version + ",\"snapshot\":" + (after < 0) + ",\"endpoints\":["
                    + String.join(",", shown) + "]}\n";
        }

        private void acceptAll(ServerSocket from) {
            try {
                while (true) {
                    Socket socket = from.accept();
                    calls.add(socket);
                    start(() -> serve(socket));
                }
            } catch (IOException closed) {
                return;
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                Message call = read(new BufferedInputStream(socket.getInputStream()));
                if (call == null) {
                    return;
                }
                note("discovery: call " + call.path());
                sleep(answersAfter);
                OutputStream out = socket.getOutputStream();
                if (!call.path().contains("watch=1")) {
                    note("discovery: answers " + call.path() + " with version " + version);
                    out.write(answer(200, "", bytes(list(-1))));
                    return;
                }
                int known = Integer.parseInt(call.path().replaceAll(".*from=(\\d+).*", "$1"));
                out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                boolean first = true;
                while (true) {
                    String line;
                    synchronized (this) {
                        line = version > known ? list(first ? -1 : known) : "\n";
                        known = version;
                    }
                    first = false;
                    out.write(bytes(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
                    synchronized (this) {
                        if (version == known) {
                            wait(2000);
                        }
                    }
                }
            } catch (IOException | InterruptedException ended) {
                note("discovery: a call ended: " + ended);
            } finally {
                calls.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    // ---- servers

    /** What a server does with a request that has arrived whole. */
    interface Handler {
        void handle(Message request, Socket connection) throws IOException;
    }

    /** A server: it listens, and handles the requests of a connection one after another. */
    final class Server implements AutoCloseable {
        final String name;
        private final ServerSocket listener;
        final List<Message> requests = new CopyOnWriteArrayList<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        volatile Handler handler;

        Server(String name, Handler handler) throws IOException {
            this.name = name;
            this.handler = handler;
            listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            closeables.add(this);
            start(() -> acceptAll());
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    start(() -> serve(socket));
                }
            } catch (IOException closed) {
                return;
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                for (Message request = read(in); request != null; request = read(in)) {
                    requests.add(request);
                    if (!request.header("X-Request-Id").isEmpty()) {
                        note(name + " got " + request.header("X-Request-Id") + " " + request.first
                                + " deadline " + request.header("X-Deadline"));
                    }
                    handler.handle(request, socket);
                }
            } catch (IOException ended) {
                return;
            } finally {
                connections.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : connections) {
                socket.close();
            }
        }
    }

    /** Answers with the id of the request after the given time. */
    Handler answerAfter(double seconds) {
        return (request, connection) -> {
            sleep(seconds);
            connection.getOutputStream().write(answer(200, "", bytes("answer-to-"
                    + request.header("X-Request-Id"))));
        };
    }

    // ---- the proxy

    /** Settings in the form of the wire page, after those of the site's own example. */
    static String settings(String discoveryMode, boolean cancel, long connectTimeoutUs) {
        return "{\"me\":0,\"balancers\":1,\"dcs\":[\"dc1\"],\"locality\":0,\"machineTypes\":[\"front-std\"],"
                + "\"layer\":0,\"layers\":[\"front\",\"jobs\"],\"discovery\":\"" + discoveryMode + "\","
                + "\"categories\":["
                + "{\"name\":\"status\",\"effect\":\"pure\",\"group\":\"all\",\"goalTimeUs\":600000,"
                + "\"deadlineUs\":1500000,\"dedupWindowUs\":5000000,\"lateWorth\":0.5,\"worth\":5.0},"
                + "{\"name\":\"book\",\"effect\":\"token\",\"group\":\"cell\",\"goalTimeUs\":600000,"
                + "\"deadlineUs\":1500000,\"dedupWindowUs\":2500000,\"lateWorth\":0.3,\"worth\":5.0},"
                + "{\"name\":\"settle\",\"effect\":\"side_effect\",\"group\":\"all\",\"goalTimeUs\":800000,"
                + "\"deadlineUs\":2000000,\"dedupWindowUs\":5000000,\"lateWorth\":0.2,\"worth\":2.0}],"
                + "\"tenants\":[{\"name\":\"harbor-spoke\",\"quotaPerS\":0,\"share\":1.0}],"
                + "\"clientHabits\":{\"marksRetry\":false},\"resolutionUs\":5000,"
                + "\"limits\":{\"maxAttempts\":3,\"cancel\":" + cancel + ",\"probes\":false,\"peers\":false,"
                + "\"mayDuplicate\":true,\"retryAfter\":false,\"maxRetryAfterUs\":1000000,\"maxStreams\":1,"
                + "\"maxOpen\":20000,\"keepaliveUs\":30000000,\"connectTimeoutUs\":" + connectTimeoutUs + "},"
                + "\"rules\":{\"answerSlackUs\":20000,\"askEveryUs\":10000000,\"coldFrom\":0.32,"
                + "\"coldUs\":8600000,\"drainGraceUs\":2500000,\"overloadForUs\":3000000,\"tipMultiple\":3.0}}";
    }

    /** One process of the proxy, started as the deploy file says. */
    final class Proxy implements AutoCloseable {
        final String address;
        final String console;
        private final Process process;
        private final Path log;
        private final Path config;
        private final String settings;

        Proxy(Discovery discovery, String settings, String address, String console, Path tmpdir)
                throws IOException {
            this.address = address;
            this.console = console;
            Files.createDirectories(tmpdir);
            this.settings = settings;
            config = Files.createTempFile(temp, "config", ".json");
            writeConfig(discovery);
            String run = null;
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    run = line.substring(7, line.lastIndexOf('"'));
                }
            }
            log = Files.createTempFile(temp, "proxy", ".log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(log.toFile());
            builder.environment().put("PROXY_NAME", "n0");
            builder.environment().put("PROXY_LISTEN", address);
            builder.environment().put("PROXY_DISCOVERY", discovery.address());
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("TMPDIR", tmpdir.toString());
            if (console != null) {
                builder.environment().put("PROXY_CONSOLE", console);
            }
            process = builder.start();
            closeables.add(this);
            note("proxy started");
        }

        private void writeConfig(Discovery discovery) throws IOException {
            Path written = Files.createTempFile(temp, "config", ".new");
            Files.writeString(written, "{\"name\":\"n0\",\"listen\":\"" + address + "\",\"discovery\":\""
                    + discovery.address() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                    + "\"memory_mb\":192,\"sockets\":" + sockets + "},\"known\":{\"index\":0,"
                    + "\"snapshot\":true,\"endpoints\":[]},\"settings\":" + settings + "}");
            Files.move(written, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        /** Replaces the configuration file, with discovery's present address, and sends SIGHUP. */
        void reconfigure(Discovery discovery) throws IOException {
            writeConfig(discovery);
            signal("HUP");
        }

        long pid() {
            return process.pid();
        }

        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                try (Client client = new Client(address)) {
                    if (client.get("/ready").status() == 200) {
                        note("proxy is ready");
                        return;
                    }
                } catch (IOException | NullPointerException notYet) {
                    // asked again below
                }
                sleep(0.1);
            }
            throw new CannotRun("the proxy is not ready after 30 s");
        }

        boolean isAlive() {
            return process.isAlive();
        }

        void terminate() {
            process.destroy();
            note("SIGTERM sent");
        }

        void kill() {
            if (process.isAlive()) {
                note("SIGKILL sent");
            }
            process.destroyForcibly();
        }

        boolean awaitEnd(double seconds) {
            try {
                return process.waitFor(Math.max(0, Math.round(seconds * 1000)), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new CannotRun("interrupted");
            }
        }

        void signal(String name) throws IOException {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
            note("SIG" + name + " sent");
        }

        @Override
        public void close() throws IOException {
            note(process.isAlive() ? "proxy ended by the test"
                    : "proxy had ended with status " + process.exitValue());
            process.destroyForcibly();
            awaitEnd(5);
            for (String line : Files.readAllLines(log, StandardCharsets.ISO_8859_1)) {
                note("proxy log: " + line);
            }
        }
    }

    Proxy startProxy(Discovery discovery, String settings) throws IOException {
        Proxy proxy = new Proxy(discovery, settings, "127.0.0.1:" + freePort(), null, temp.resolve("tmp"));
        proxy.awaitReady();
        return proxy;
    }

    // ---- clients

    /** A client's connection. */
    static final class Client implements AutoCloseable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(String address) throws IOException {
            int colon = address.lastIndexOf(':');
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1))), 2000);
            socket.setSoTimeout(30_000);
            in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            out = socket.getOutputStream();
        }

        Message get(String path) throws IOException {
            out.write(bytes("GET " + path + " HTTP/1.1\r\nHost: origin.svc\r\n\r\n"));
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A request as the protocol page shows it: status is a GET, book carries a key, settle does not. */
    static String request(String kind, String id, int deadlineMs, int bodyBytes) {
        return (kind.equals("status") ? "GET" : "POST") + " /" + kind + "/" + id + " HTTP/1.1\r\n"
                + "Host: origin.svc\r\nX-Request-Id: " + id + "\r\nX-Tenant: harbor-spoke\r\nX-Deadline: "
                + deadlineMs + "m\r\n"
                + (kind.equals("book") ? "Idempotency-Key: key-" + id + "\r\n" : "")
                + (kind.equals("status") ? "" : "Content-Length: " + bodyBytes + "\r\n") + "\r\n"
                + (kind.equals("status") ? "" : "x".repeat(bodyBytes));
    }

    /** Runs a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
    interface Case {
        boolean holds(Rig rig) throws Exception;
    }

    static void main(String[] args, Case test) {
        int status = 2;
        try (Rig rig = new Rig(Path.of(args[0]))) {
            try {
                status = test.holds(rig) ? 0 : 1;
                rig.note(status == 0 ? "RESULT: the rule held" : "RESULT: the rule was broken");
            } catch (Exception e) {
                rig.note("RESULT: the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
            status = 2;
        }
        System.out.println("status " + status);
        System.exit(status);
    }
}
