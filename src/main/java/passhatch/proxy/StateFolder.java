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
final class StateFolder implements AutoCloseable {

    private static final String LIFE = ".life";

    /**
     * A process that serves under this proxy's name, as it last showed itself.
     *
     * @param startedMs when it started, in Unix time
     * @param serving whether it takes clients
     * @param follows the version of what staff set that it goes by
     */
    record Peer(String id, long startedMs, boolean serving, long follows) { }

    private final Path folder;
    private final String prefix;
    private final long startedMs = System.currentTimeMillis();
    /** Unlike any other's. A UUID would set up the JDK's security providers first, while clients wait. */
    private final String id = Long.toHexString(startedMs) + '-'
            + Long.toHexString(new SplittableRandom().nextLong());
    private final FileChannel life;

    /** Shows that this process lives; it does not serve yet. */
    StateFolder(Path folder, String proxy) throws IOException {
        this.folder = folder;
        // With no hyphen in it, the files of n1-b are not among those that begin with n1.
        String name = URLEncoder.encode(proxy, StandardCharsets.UTF_8).replace("-", "%2D");
        this.prefix = "passhatch-" + name + "-";
        // Locked before it gets its name: one that is not locked passes for that of a dead process.
        Path unnamed = folder.resolve(prefix + id + ".new");
        this.life = FileChannel.open(unnamed, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        life.lock();
        show(false, 0);
        Files.move(unnamed, file(id + LIFE), StandardCopyOption.ATOMIC_MOVE);
    }

    private Path file(String name) {
        return folder.resolve(prefix + name);
    }

    private void put(Path file, String text) throws IOException {
        Path beside = file(id + ".tmp");
        Files.writeString(beside, text);
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Tells the other processes about this one. */
    void show(boolean serving, long follows) throws IOException {
        put(file(id + ".json"), JSON.std.asString(Map.of("startedMs", startedMs, "serving", serving,
                "follows", follows)));
    }

    /** What staff set, in writing; null where nothing was written yet. */
    String readState() throws IOException {
        try {
            return Files.readString(file("state.json"));
        } catch (NoSuchFileException none) {
            return null;
        }
    }

    void writeState(SharedState state) throws IOException {
        put(file("state.json"), state.json());
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
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, prefix + "*" + LIFE)) {
            for (Path sign : files) {
                String name = sign.getFileName().toString();
                String other = name.substring(prefix.length(), name.length() - LIFE.length());
                // A process's own sign must not be opened again: closing that would let go of the lock.
                if (!other.equals(id) && isLocked(sign)) {
                    peers.add(peer(other));
                }
            }
        }
        return peers;
    }

    private boolean isLocked(Path sign) throws IOException {
        try (FileChannel channel = FileChannel.open(sign, StandardOpenOption.WRITE)) {
            if (channel.tryLock() == null) {
                return true;
            }
        } catch (OverlappingFileLockException held) {
            return true;
        } catch (NoSuchFileException gone) {
            return false;
        }
        String name = sign.getFileName().toString();
        Files.deleteIfExists(sign);
        Files.deleteIfExists(folder.resolve(name.substring(0, name.length() - LIFE.length()) + ".json"));
        return false;
    }

    /** What another process shows; where that cannot be read it lives all the same. */
    private Peer peer(String other) {
        try {
            Map<String, Object> shown = JSON.std.mapFrom(Files.readString(file(other + ".json")));
            if (shown.get("startedMs") instanceof Number started
                    && shown.get("serving") instanceof Boolean serving
                    && shown.get("follows") instanceof Number follows) {
                return new Peer(other, started.longValue(), serving, follows.longValue());
            }
        } catch (IOException unreadable) {
            // As below.
        }
        return new Peer(other, 0, false, 0);
    }

    /** Whether the other process started after this one. */
    boolean isLater(Peer peer) {
        return peer.startedMs() != startedMs ? peer.startedMs() > startedMs : peer.id().compareTo(id) > 0;
    }

    /** Takes the signs of this process away. */
    @Override
    public void close() throws IOException {
        Files.deleteIfExists(file(id + LIFE));
        Files.deleteIfExists(file(id + ".json"));
        life.close();
    }
}
