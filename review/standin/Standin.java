import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Stand-ins that the cases share: discovery, backends, clients, and the platform that starts and ends a proxy
 * with the run command of the deploy file. Everything listens on 127.0.0.1 at free ports.
 */
final class Standin {

    private Standin() { }

    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    /** The record of a run, with the seconds since its start before each line. */
    static final class Record {
        private final PrintWriter out;
        private final long startNs = System.nanoTime();

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        double seconds() {
            return (System.nanoTime() - startNs) / 1e9;
        }

        synchronized void line(String text) {
            out.printf(Locale.ROOT, "%9.4f  %s%n", seconds(), text);
            out.flush();
        }
    }

    /** An HTTP request or response as it was read. */
    static final class Message {
        final String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        Message(String firstLine) {
            this.firstLine = firstLine;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        /** Status of a response. */
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a line without its line break; null at the end of the stream. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        if (line.size() > 0) {
            throw new EOFException("the stream ended within a line: " + line);
        }
        return null;
    }

    /** Reads the head of a message; null at the end of the stream. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Message message = new Message(first);
        for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
            if (line == null) {
                throw new EOFException("the stream ended within a head");
            }
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        return message;
    }

    /** Reads a whole message whose body has a length or is chunked; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) {
            return null;
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
                if (size == 0) {
                    break;
                }
                body.write(readExactly(in, size));
                readLine(in);
            }
            for (String trailer = readLine(in); trailer != null && !trailer.isEmpty();) {
                trailer = readLine(in);
            }
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = readExactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the stream ended within a body: " + bytes.length + " of " + size);
        }
        return bytes;
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Answers with a short text. */
    static void answer(Socket socket, String statusAndHeaders, String text) throws IOException {
        write(socket, "HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread start(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException expected) {
                // A connection that ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, "standin", 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Handler {
        /** Answers one request; further requests of the connection are read after it returns. */
        void handle(Backend backend, Socket socket, Message request) throws Exception;
    }

    /** A backend that reads whole requests, as it starts on a request when its last byte has arrived. */
    static final class Backend {
        final String id;
        final ServerSocket listener;
        final Handler handler;
        /** When it started, as Unix time in milliseconds; 0 means long ago. */
        long sinceMs;

        Backend(String id, Handler handler) throws IOException {
            this.id = id;
            this.handler = handler;
            this.listener = new ServerSocket(0, 1024, LOOPBACK);
            start(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message request = read(in); request != null; request = read(in)) {
                    handler.handle(this, socket, request);
                }
            }
        }

        String json() {
            return "{\"name\":\"" + id + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"zone\":\"dc1\",\"type\":\"front-std\",\"group\":0,\"status\":\"SERVING\""
                    + ",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
        }
    }

    /**
     * Discovery. It answers a call for the list with the whole list. A watch gets the changes since its version,
     * or the whole list, then each change, and an empty line every 2 s.
     */
    static final class Discovery {
        final ServerSocket listener;
        private final Record record;
        private final List<Backend> backends;
        private final List<Socket> watches = new ArrayList<>();
        private int index = 41;

        Discovery(Record record, List<Backend> backends) throws IOException {
            this.record = record;
            this.backends = new ArrayList<>(backends);
            this.listener = new ServerSocket(0, 64, LOOPBACK);
            start(() -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start(() -> serve(socket));
                }
            });
            start(() -> {
                while (true) {
                    Thread.sleep(2_000);
                    toWatches("\n");
                }
            });
        }

        private static String object(int index, boolean snapshot, List<Backend> entries) {
            return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
                    + String.join(",", entries.stream().map(Backend::json).toList()) + "]}";
        }

        synchronized String list() {
            return object(index, true, backends);
        }

        /** Adds a backend to the list and tells all watches. */
        synchronized void add(Backend backend) {
            backends.add(backend);
            index++;
            record.line("discovery tells that " + backend.id + " serves; " + backends.size() + " backends now");
            toWatches(object(index, false, List.of(backend)) + "\n");
        }

        private synchronized void toWatches(String text) {
            watches.removeIf(socket -> {
                try {
                    chunk(socket, text);
                    return false;
                } catch (IOException ended) {
                    return true;
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            Message call = read(socket.getInputStream());
            if (call == null) {
                socket.close();
                return;
            }
            record.line("discovery is asked: " + call.firstLine);
            if (!call.path().contains("watch=1")) {
                answer(socket, "200 OK", list());
                return;
            }
            synchronized (this) {
                write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                boolean upToDate = call.path().endsWith("from=" + index);
                chunk(socket, upToDate ? "\n" : list() + "\n");
                watches.add(socket);
            }
        }

        private static void chunk(Socket socket, String text) throws IOException {
            write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /**
     * Settings like those of dispatch-east: its classes and rules, and its list that answers when asked.
     *
     * @param balancers number of proxies of the tier
     */
    private static String settings(int instance, int balancers) {
        return "{\"instance\":" + instance + ",\"me\":" + instance + ",\"balancers\":" + balancers
                + ",\"dcs\":[\"dc1\"],\"locality\":0,\"machineTypes\":[\"front-std\"],\"layer\":0,"
                + "\"layers\":[\"front\",\"jobs\"],\"discovery\":\"on_request\",\"family\":\"chain\","
                + "\"categories\":["
                + category("status", "pure", 600, 1_500, 5) + "," + category("book", "token", 600, 1_500, 5) + ","
                + category("settle", "side_effect", 800, 2_000, 2) + "],"
                + "\"tenants\":[{\"name\":\"harbor-spoke\",\"quotaPerS\":0}],"
                + "\"clientHabits\":{\"marksRetry\":false},\"familyInfo\":{\"passesDeadline\":true},"
                + "\"loadInfo\":{\"fields\":[],\"how\":\"none\"},\"weightSource\":\"rough\","
                + "\"limits\":{\"maxAttempts\":3,\"cancel\":true,\"probes\":false,\"peers\":false,"
                + "\"mayDuplicate\":true,\"retryAfter\":false,\"maxRetryAfterUs\":1000000,\"maxStreams\":1,"
                + "\"keepaliveUs\":30000000,\"connectTimeoutUs\":100000,\"maxOpen\":20000},"
                + "\"rules\":{\"drainGraceUs\":2500000,\"coldFrom\":0.32,\"coldUs\":8600000,"
                + "\"tipMultiple\":3.0,\"overloadForUs\":3000000,\"answerSlackUs\":20000,"
                + "\"askEveryUs\":10000000}}";
    }

    private static String category(String name, String effect, int goalMs, int deadlineMs, int worth) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"goalTimeUs\":" + goalMs * 1_000
                + ",\"deadlineUs\":" + deadlineMs * 1_000 + ",\"worth\":" + worth
                + ",\"lateWorth\":0.3,\"dedupWindowUs\":2500000,\"group\":\"cell\",\"stream\":false}";
    }

    /** A proxy, started with the run command of the deploy file in the root of the repository. */
    static final class Proxy {
        final String name;
        final int port = freePort();
        final Process process;
        private final Record record;
        private final Path folder;

        Proxy(Record record, Discovery discovery, int instance, int balancers, int sockets) throws IOException {
            this.record = record;
            this.name = "n" + instance;
            folder = Files.createTempDirectory("review");
            Path config = folder.resolve("config.json");
            Path temporary = Files.createDirectory(folder.resolve("tmp"));
            String discoveryAddress = "127.0.0.1:" + discovery.listener.getLocalPort();
            Files.writeString(config, "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
                    + "\",\"discovery\":\"" + discoveryAddress + "\",\"seed\":\"8c1f30d27a5be96" + instance
                    + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets + "},"
                    + "\"known\":" + discovery.list() + ",\"settings\":" + settings(instance, balancers) + "}");
            Path root = Path.of(System.getProperty("review.root"));
            String run = Files.readAllLines(root.resolve("deploy/balancer.toml")).stream()
                    .filter(line -> line.startsWith("run = \""))
                    .map(line -> line.substring(7, line.lastIndexOf('"'))).findFirst().orElseThrow();
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile())
                    .redirectErrorStream(true).redirectOutput(folder.resolve("proxy.log").toFile());
            builder.environment().putAll(Map.of("PROXY_NAME", name, "PROXY_LISTEN", "127.0.0.1:" + port,
                    "PROXY_DISCOVERY", discoveryAddress, "PROXY_CONFIG", config.toString(),
                    "TMPDIR", temporary.toString()));
            process = builder.start();
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            record.line("proxy " + name + " started at 127.0.0.1:" + port + ", " + balancers
                    + " proxies in the tier, " + sockets + " descriptors");
        }

        /** Waits for the answer 200 to GET /ready. */
        boolean awaitReady() {
            for (int i = 0; i < 150 && process.isAlive(); i++) {
                try (Socket socket = new Socket(LOOPBACK, port)) {
                    socket.setSoTimeout(2_000);
                    write(socket, "GET /ready HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n");
                    Message answer = read(socket.getInputStream());
                    if (answer != null && answer.status() == 200) {
                        record.line("proxy " + name + " is ready");
                        return true;
                    }
                } catch (IOException notYet) {
                    // Not listening yet.
                }
                sleep(100);
            }
            record.line("proxy " + name + " did not become ready");
            return false;
        }

        /** Ends the process, copies its log to the record and deletes its folder. */
        void end() throws Exception {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
            record.line("the log of proxy " + name + ":");
            for (String line : Files.readAllLines(folder.resolve("proxy.log"), StandardCharsets.ISO_8859_1)) {
                record.line("  | " + line);
            }
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        }
    }

    static String get(String path, String id, long deadlineMs) {
        return "GET " + path + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: " + id
                + "\r\nX-Tenant: harbor-spoke\r\nX-Deadline: " + deadlineMs + "m\r\n\r\n";
    }

    /** A client that sends one request at a time on a connection and keeps the connection. */
    static final class Client {
        /** After a request's time an answer still counts for 0.5 s; every time limit is 50 ms longer. */
        static final int LATE_MS = 550;
        private final Proxy proxy;
        private Socket socket;
        private int answersOnSocket;

        Client(Proxy proxy) {
            this.proxy = proxy;
        }

        /**
         * Sends a request and returns its answer. A kept connection that ends before any byte of the answer is
         * closed between requests, so the request is sent once more on a new one.
         *
         * @return null if there is no whole answer in its time and 0.5 s more
         */
        Message get(String path, String id, int deadlineMs) throws IOException {
            long sentNs = System.nanoTime();
            while (true) {
                boolean isNew = socket == null;
                try {
                    if (isNew) {
                        socket = new Socket(LOOPBACK, proxy.port);
                        socket.setTcpNoDelay(true);
                        answersOnSocket = 0;
                    }
                    socket.setSoTimeout((int) Math.max(1,
                            deadlineMs + LATE_MS - (System.nanoTime() - sentNs) / 1_000_000));
                    write(socket, Standin.get(path, id, deadlineMs));
                    Message answer = read(socket.getInputStream());
                    if (answer != null) {
                        answersOnSocket++;
                        if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                            close();
                        }
                        return answer;
                    }
                } catch (SocketTimeoutException unanswered) {
                    close();
                    return null;
                } catch (IOException ended) {
                    if (isNew) {
                        close();
                        return null;
                    }
                }
                close();
                if (isNew) {
                    return null;
                }
            }
        }

        void close() throws IOException {
            if (socket != null) {
                socket.close();
                socket = null;
            }
        }
    }

    interface Case {
        /** Runs the case; true if the rule held. */
        boolean run(Record record, boolean trouble) throws Exception;
    }

    /** Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case could not run. */
    static void main(String[] args, Case body) throws IOException {
        Record record = new Record(Path.of(args[0]));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line(trouble ? "with the disruption" : "TROUBLE=0: without the disruption");
        start(() -> {
            sleep(110_000);
            record.line("RESULT: the case did not end in 110 s");
            System.exit(2);
        });
        int status = 2;
        try {
            boolean held = body.run(record, trouble);
            status = held ? 0 : 1;
            record.line("RESULT: the rule " + (held ? "held" : "was BROKEN"));
            System.out.println("the rule " + (held ? "held" : "was broken") + "; see " + args[0]);
        } catch (Exception e) {
            record.line("RESULT: the case could not run: " + e);
            e.printStackTrace();
        }
        System.exit(status);
    }
}
