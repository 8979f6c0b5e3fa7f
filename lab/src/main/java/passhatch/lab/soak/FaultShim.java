package passhatch.lab.soak;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel.MapMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Steps the wall clock of one proxy and makes its system calls fail, by a library loaded into it. */
final class FaultShim {

    /** Errors of accept and connect that Linux documents, by their numbers there. */
    enum Errno {
        ECONNABORTED(103), ENFILE(23), ENOBUFS(105), EADDRNOTAVAIL(99), ENETUNREACH(101), EINTR(4);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    /** The layout of {@code struct faults} in fault_shim.c. */
    private static final int CLOCK_STEP_OFFSET = 0;
    private static final int ACCEPT_OFFSET = 8;
    private static final int CONNECT_OFFSET = 16;
    private static final int SOCKET_OFFSET = 24;
    private static final int SIZE_BYTES = 32;
    private static final int COMPILE_TIMEOUT_S = 60;

    private final Path library;
    private final Path file;
    private final ByteBuffer mappedFaults;

    /** A shim with no fault, which keeps what it does in the file. */
    FaultShim(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (RandomAccessFile opened = new RandomAccessFile(file.toFile(), "rw")) {
            opened.setLength(SIZE_BYTES);
            MappedByteBuffer mapped = opened.getChannel().map(MapMode.READ_WRITE, 0, SIZE_BYTES);
            mappedFaults = mapped.order(ByteOrder.nativeOrder());
        }
    }

    /** Compiles the library into the folder; null where this machine has no C compiler. */
    static Path compile(Path root, Path directory) throws IOException, InterruptedException {
        Path library = directory.resolve("fault_shim.so").toAbsolutePath();
        try {
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o",
                    library.toString(), root.resolve("lab/src/main/c/fault_shim.c").toString(), "-ldl")
                    .inheritIO().start();
            if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("fault_shim.c does not compile");
            }
        } catch (IOException noCompiler) {
            if (Files.exists(Path.of("/usr/bin/cc"))) {
                throw noCompiler;
            }
            return null;
        }
        return library;
    }

    void addTo(Map<String, String> environment) {
        if (library != null) {
            environment.put("LD_PRELOAD", library.toString());
            environment.put("FAULT_SHIM_FILE", file.toAbsolutePath().toString());
        }
    }

    /** The wall clock is off by so much from now on; zero sets it right. */
    void stepClock(Duration offset) {
        mappedFaults.putLong(CLOCK_STEP_OFFSET, offset.toNanos());
    }

    /** So many of a thousand calls to accept fail. */
    void failAccept(int permille, Errno errno) {
        mappedFaults.putInt(ACCEPT_OFFSET + Integer.BYTES, errno.number).putInt(ACCEPT_OFFSET, permille);
    }

    /** So many of a thousand calls to socket fail. */
    void failSocket(int permille, Errno errno) {
        mappedFaults.putInt(SOCKET_OFFSET + Integer.BYTES, errno.number).putInt(SOCKET_OFFSET, permille);
    }

    /** So many of a thousand calls to connect fail. */
    void failConnect(int permille, Errno errno) {
        mappedFaults.putInt(CONNECT_OFFSET + Integer.BYTES, errno.number).putInt(CONNECT_OFFSET, permille);
    }
}
