package passhatch.proxy;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The files that the processes of one proxy share: the state that operators set and, for each process, a
 * status file and a liveness file. State and status are written to a temporary file that is then renamed, so
 * no reader sees a part of one. A process keeps its liveness file locked, and the kernel releases the lock
 * when the process ends, however it ends.
 */
final class StateDirectory implements AutoCloseable {

    private static final String LIVENESS_SUFFIX = ".life";

    /**
     * Another process of this proxy, with the status that it last published.
     *
     * @param id unique for each process
     * @param startedMs when it started, as a Unix time in milliseconds
     * @param serving whether it accepts clients
     * @param appliedVersion the version of the shared state that it applies; {@code follows} in the file
     */
    record Peer(String id, long startedMs, boolean serving, long appliedVersion) { }

    private final Path directory;
    private final String prefix;
    private final long startedMs = System.currentTimeMillis();
    /**
     * Unique for each process. A random UUID would initialize the JDK's security providers, which takes time
     * while clients wait for the start.
     */
    private final String id = Long.toHexString(startedMs) + '-'
            + Long.toHexString(new SplittableRandom().nextLong());
    private final FileChannel livenessChannel;

    /**
     * Creates the files of this process, which does not accept clients yet.
     *
     * @throws IOException if the directory cannot be written to
     */
    StateDirectory(Path directory, String proxyName) throws IOException {
        this.directory = directory;
        this.prefix = prefix(proxyName);
        // Locked before it is renamed, because a liveness file without a lock counts as that of a dead
        // process.
        Path temporary = directory.resolve(prefix + id + ".new");
        this.livenessChannel = FileChannel
                .open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        livenessChannel.lock();
        publishStatus(false, 0);
        Files.move(temporary, file(id + LIVENESS_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Hyphens in the name are encoded, so that the files of a proxy n1-b do not match the prefix of n1. */
    private static String prefix(String proxyName) {
        return "passhatch-" + URLEncoder.encode(proxyName, StandardCharsets.UTF_8).replace("-", "%2D") + "-";
    }

    /** The file with the ids of requests that the processes of a proxy have sent. */
    static Path requestIdFile(Path directory, String proxyName) {
        return directory.resolve(prefix(proxyName) + "ids");
    }

    private Path file(String name) {
        return directory.resolve(prefix + name);
    }

    private void writeAtomically(Path file, String text) throws IOException {
        Path temporary = file(id + ".tmp");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /**
     * Publishes the status of this process to the others.
     *
     * @param appliedVersion the version of the shared state that it applies
     */
    void publishStatus(boolean serving, long appliedVersion) throws IOException {
        writeAtomically(file(id + ".json"),
                JSON.std.asString(Map.of("startedMs", startedMs, "serving", serving,
                "follows", appliedVersion)));
    }

    /** The stored state as JSON, or null if none has been stored yet. */
    String readState() throws IOException {
        try {
            return Files.readString(file("state.json"));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    /** Stores the state; the caller holds the lock unless it restores the state that is in effect. */
    void writeState(SharedState state) throws IOException {
        writeAtomically(file("state.json"), state.toJson());
    }

    /**
     * Takes the lock that one process at a time needs for changing the state.
     *
     * @return closing this releases the lock; null if another process holds it
     */
    AutoCloseable tryLock() throws IOException {
        FileChannel channel = FileChannel.open(file("state.lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException alreadyLocked) {
            // Held by this JVM, which happens in tests that run two proxies in one process.
        }
        if (lock == null) {
            channel.close();
            return null;
        }
        return channel;
    }

    /** The other processes that are running. Deletes the files of processes that are not. */
    List<Peer> peers() throws IOException {
        List<Peer> peers = new ArrayList<>();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(directory, prefix + "*" + LIVENESS_SUFFIX)) {
            for (Path livenessFile : files) {
                String name = livenessFile.getFileName().toString();
                String peerId = name.substring(prefix.length(), name.length() - LIVENESS_SUFFIX.length());
                // This process must not open its own liveness file again, as closing that would release the
                // lock.
                if (!peerId.equals(id) && isLockedOrDelete(livenessFile)) {
                    peers.add(readPeer(peerId));
                }
            }
        }
        return peers;
    }

    private boolean isLockedOrDelete(Path livenessFile) throws IOException {
        try (FileChannel channel = FileChannel.open(livenessFile, StandardOpenOption.WRITE)) {
            if (channel.tryLock() == null) {
                return true;
            }
        } catch (OverlappingFileLockException alreadyLocked) {
            return true;
        } catch (NoSuchFileException gone) {
            return false;
        }
        String name = livenessFile.getFileName().toString();
        Files.deleteIfExists(livenessFile);
        Files.deleteIfExists(directory.resolve(name.substring(0, name.length() - LIVENESS_SUFFIX.length())
                + ".json"));
        return false;
    }

    /** Reads the status of another process; one whose status cannot be read still counts as running. */
    private Peer readPeer(String peerId) {
        try {
            Map<String, Object> fields = JSON.std.mapFrom(Files.readString(file(peerId + ".json")));
            if (fields.get("startedMs") instanceof Number peerStartedMs
                    && fields.get("serving") instanceof Boolean serving
                    && fields.get("follows") instanceof Number appliedVersion) {
                return new Peer(peerId, peerStartedMs.longValue(), serving, appliedVersion.longValue());
            }
        } catch (IOException unreadable) {
            // Treated like a status with missing fields.
        }
        return new Peer(peerId, 0, false, 0);
    }

    /** Whether the other process started after this one; the ids decide between equal start times. */
    boolean startedAfterThis(Peer peer) {
        return peer.startedMs() != startedMs ? peer.startedMs() > startedMs : peer.id().compareTo(id) > 0;
    }

    /** Deletes the files of this process and releases its lock. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file(id + LIVENESS_SUFFIX));
        Files.deleteIfExists(file(id + ".json"));
        livenessChannel.close();
    }
}
