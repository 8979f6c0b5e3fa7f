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

/**
 * Controls a library preloaded into one proxy that steps its wall clock and makes its system calls fail.
 * Without a C compiler there is no library and the faults have no effect.
 */
final class FaultShim {

    /** Errors of accept and connect documented for Linux, with their numbers. */
    enum Errno {
        ECONNABORTED(103), ENFILE(23), ENOBUFS(105), EADDRNOTAVAIL(99), ENETUNREACH(101), EINTR(4);

        private final int number;

        Errno(int number) {
            this.number = number;
        }
    }

    // Byte offsets in struct faults of fault_shim.c.
    private static final int CLOCK_STEP_OFFSET = 0;
    private static final int ACCEPT_OFFSET = 8;
    private static final int CONNECT_OFFSET = 16;
    private static final int SOCKET_OFFSET = 24;
    private static final int SIZE_BYTES = 32;
    private static final int COMPILE_TIMEOUT_S = 60;

    private final Path library;
    private final Path file;
    private final ByteBuffer mappedFaults;

    /**
     * Creates a shim without faults.
     *
     * @param library the compiled library, or null if there is none
     * @param file shared file that holds the current faults; created if it does not exist
     */
    FaultShim(Path library, Path file) throws IOException {
        this.library = library;
        this.file = file;
        try (RandomAccessFile opened = new RandomAccessFile(file.toFile(), "rw")) {
            opened.setLength(SIZE_BYTES);
            MappedByteBuffer mapped = opened.getChannel().map(MapMode.READ_WRITE, 0, SIZE_BYTES);
            mappedFaults = mapped.order(ByteOrder.nativeOrder());
        }
    }

    /**
     * Compiles the library into a directory.
     *
     * @param root root directory of the project
     * @return the library, or null if there is no C compiler
     * @throws IOException if the compiler fails or takes over 60 s
     */
    static Path compile(Path root, Path directory) throws IOException, InterruptedException {
        Path library = directory.resolve("fault_shim.so").toAbsolutePath();
        try {
            Process compiler = new ProcessBuilder("cc", "-shared", "-fPIC", "-O2", "-Wall", "-o",
                    library.toString(), root.resolve("lab/src/main/c/fault_shim.c").toString(), "-ldl")
                    .inheritIO().start();
            if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("compiling fault_shim.c failed or timed out");
            }
        } catch (IOException noCompiler) {
            if (Files.exists(Path.of("/usr/bin/cc"))) {
                throw noCompiler;
            }
            return null;
        }
        return library;
    }

    /** Adds the variables that load the library to the environment of a proxy. */
    void addTo(Map<String, String> environment) {
        if (library != null) {
            environment.put("LD_PRELOAD", library.toString());
            environment.put("FAULT_SHIM_FILE", file.toAbsolutePath().toString());
        }
    }

    /** Sets the offset of the wall clock from now on; zero ends the fault. */
    void stepClock(Duration offset) {
        mappedFaults.putLong(CLOCK_STEP_OFFSET, offset.toNanos());
    }

    /** Makes this many of 1,000 calls to accept fail with an error; zero ends the fault. */
    void failAccept(int permille, Errno errno) {
        mappedFaults.putInt(ACCEPT_OFFSET + Integer.BYTES, errno.number).putInt(ACCEPT_OFFSET, permille);
    }

    /** Makes this many of 1,000 calls to socket fail with an error; zero ends the fault. */
    void failSocket(int permille, Errno errno) {
        mappedFaults.putInt(SOCKET_OFFSET + Integer.BYTES, errno.number).putInt(SOCKET_OFFSET, permille);
    }

    /** Makes this many of 1,000 calls to connect fail with an error; zero ends the fault. */
    void failConnect(int permille, Errno errno) {
        mappedFaults.putInt(CONNECT_OFFSET + Integer.BYTES, errno.number).putInt(CONNECT_OFFSET, permille);
    }
}
