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
    private static final int CLOCK_STEP = 0;
    private static final int ACCEPT = 8;
    private static final int CONNECT = 16;
    private static final int SOCKET = 24;
    private static final int SIZE = 32;
    private static final int COMPILE_S = 60;

    private final Path library;
    private final Path file;
    private final ByteBuffer faults;

    /** A shim with no fault, which keeps what it does in the file. */
    FaultShim(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (RandomAccessFile open = new RandomAccessFile(file.toFile(), "rw")) {
            open.setLength(SIZE);
            MappedByteBuffer mapped = open.getChannel().map(MapMode.READ_WRITE, 0, SIZE);
            faults = mapped.order(ByteOrder.nativeOrder());
        }
    }

    /** Compiles the library into the folder; null where this machine has no C compiler. */
    static Path compile(Path root, Path folder) throws IOException, InterruptedException {
        Path library = folder.resolve("fault_shim.so").toAbsolutePath();
        try {
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o",
                    library.toString(), root.resolve("lab/src/main/c/fault_shim.c").toString(), "-ldl")
                    .inheritIO().start();
            if (!compiler.waitFor(COMPILE_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
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
    void stepClock(Duration by) {
        faults.putLong(CLOCK_STEP, by.toNanos());
    }

    /** So many of a thousand calls to accept fail. */
    void failAccept(int permille, Errno how) {
        faults.putInt(ACCEPT + Integer.BYTES, how.number).putInt(ACCEPT, permille);
    }

    /** So many of a thousand calls to socket fail. */
    void failSocket(int permille, Errno how) {
        faults.putInt(SOCKET + Integer.BYTES, how.number).putInt(SOCKET, permille);
    }

    /** So many of a thousand calls to connect fail. */
    void failConnect(int permille, Errno how) {
        faults.putInt(CONNECT + Integer.BYTES, how.number).putInt(CONNECT, permille);
    }
}
