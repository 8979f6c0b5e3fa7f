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
 * The files by which the processes of one proxy know of each other: what staff set, and for each process a
 * sign of life. Every file is written whole beside its place and renamed into it. A sign of life is locked
 * by its process, and the kernel lets go of the lock with the process, however that ends.
 */
final class StateDirectory implements AutoCloseable {

    private static final String LIVENESS_SUFFIX = ".life";

    /**
     * A process that serves under this proxy's name, as it last showed itself.
     *
     * @param startedMs when it started, in Unix time
     * @param serving whether it takes clients
     * @param appliedVersion the version of what staff set that it goes by
     */
    record Peer(String id, long startedMs, boolean serving, long appliedVersion) { }

    private final Path directory;
    private final String prefix;
    private final long startedMs = System.currentTimeMillis();
    /** Unlike any other's. A UUID would set up the JDK's security providers first, while clients wait. */
    private final String id = Long.toHexString(startedMs) + '-'
            + Long.toHexString(new SplittableRandom().nextLong());
    private final FileChannel livenessChannel;

    /** Shows that this process lives; it does not serve yet. */
    StateDirectory(Path directory, String proxyName) throws IOException {
        this.directory = directory;
        // With no hyphen in it, the files of n1-b are not among those that begin with n1.
        String encodedName = URLEncoder.encode(proxyName, StandardCharsets.UTF_8).replace("-", "%2D");
        this.prefix = "passhatch-" + encodedName + "-";
        // Locked before it gets its name: one that is not locked passes for that of a dead process.
        Path temporary = directory.resolve(prefix + id + ".new");
        this.livenessChannel = FileChannel
                .open(temporary, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        livenessChannel.lock();
        publishStatus(false, 0);
        Files.move(temporary, file(id + LIVENESS_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path file(String name) {
        return directory.resolve(prefix + name);
    }

    private void writeAtomically(Path file, String text) throws IOException {
        Path temporary = file(id + ".tmp");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Tells the other processes about this one. */
    void publishStatus(boolean serving, long appliedVersion) throws IOException {
        writeAtomically(file(id + ".json"),
                JSON.std.asString(Map.of("startedMs", startedMs, "serving", serving,
                "follows", appliedVersion)));
    }

    /** What staff set, in writing; null where nothing was written yet. */
    String readState() throws IOException {
        try {
            return Files.readString(file("state.json"));
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    void writeState(SharedState state) throws IOException {
        writeAtomically(file("state.json"), state.toJson());
    }

    /** The right to change what is set, one process at a time; null while another has it. */
    AutoCloseable tryLock() throws IOException {
        FileChannel channel = FileChannel.open(file("state.lock"), StandardOpenOption.CREATE,
                StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException held) {
            // By this very process, which tests make of two proxies.
        }
        if (lock == null) {
            channel.close();
            return null;
        }
        return channel;
    }

    /** The other processes that live. */
    List<Peer> peers() throws IOException {
        List<Peer> peers = new ArrayList<>();
        try (DirectoryStream<Path> files =
                Files.newDirectoryStream(directory, prefix + "*" + LIVENESS_SUFFIX)) {
            for (Path livenessFile : files) {
                String name = livenessFile.getFileName().toString();
                String peerId = name.substring(prefix.length(), name.length() - LIVENESS_SUFFIX.length());
                // A process's own sign must not be opened again: closing that would let go of the lock.
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
        } catch (OverlappingFileLockException held) {
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

    /** What another process shows; where that cannot be read it lives all the same. */
    private Peer readPeer(String peerId) {
        try {
            Map<String, Object> fields = JSON.std.mapFrom(Files.readString(file(peerId + ".json")));
            if (fields.get("startedMs") instanceof Number peerStartedMs
                    && fields.get("serving") instanceof Boolean serving
                    && fields.get("follows") instanceof Number appliedVersion) {
                return new Peer(peerId, peerStartedMs.longValue(), serving, appliedVersion.longValue());
            }
        } catch (IOException unreadable) {
            // As below.
        }
        return new Peer(peerId, 0, false, 0);
    }

    /** Whether the other process started after this one. */
    boolean startedAfterThis(Peer peer) {
        return peer.startedMs() != startedMs ? peer.startedMs() > startedMs : peer.id().compareTo(id) > 0;
    }

    /** Takes the signs of this process away. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file(id + LIVENESS_SUFFIX));
        Files.deleteIfExists(file(id + ".json"));
        livenessChannel.close();
    }
}
