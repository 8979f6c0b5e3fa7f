package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The ids of requests that may have run, in one process and in two. */
final class RequestIdTableTest {

    @TempDir
    Path folder;

    @Test
    void anIdIsClaimedOnceUntilItIsReleased() {
        RequestIdTable table = RequestIdTable.ofThisProcess();
        assertTrue(table.claim("a").isFirst());
        assertFalse(table.claim("a").isFirst());
        assertTrue(table.contains("a"));
        assertFalse(table.contains("b"));
        table.release("a");
        assertFalse(table.contains("a"));
        assertTrue(table.claim("a").isFirst());
    }

    /** Clients may make up any number of ids: the latest thousands are known, in memory of a fixed size. */
    @Test
    void theLatestIdsReplaceTheOldest() {
        RequestIdTable table = RequestIdTable.ofThisProcess();
        for (int i = 0; i < 100_000; i++) {
            assertTrue(table.claim("id" + i).isFirst());
        }
        for (int i = 98_000; i < 100_000; i++) {
            assertTrue(table.contains("id" + i), "id" + i);
        }
        int known = 0;
        for (int i = 0; i < 100_000; i++) {
            known += table.contains("id" + i) ? 1 : 0;
        }
        assertTrue(known <= RequestIdTable.BYTES / 16, "known: " + known);
    }

    /** Whoever replaces an id learns how old it was, and so whether it might still come again. */
    @Test
    void anIdThatIsReplacedTellsItsAge() {
        RequestIdTable table = RequestIdTable.ofThisProcess();
        int slots = RequestIdTable.BYTES / 16;
        long startNs = System.nanoTime();
        int replaced = 0;
        for (int i = 0; i < 2 * slots; i++) {
            long ageNs = table.claim("id" + i).replacedAgeNs();
            if (ageNs != RequestIdTable.NOTHING_REPLACED) {
                replaced++;
                assertTrue(ageNs >= 0 && ageNs <= System.nanoTime() - startNs, "age " + ageNs);
            }
        }
        int known = 0;
        for (int i = 0; i < 2 * slots; i++) {
            known += table.contains("id" + i) ? 1 : 0;
        }
        assertEquals(2 * slots - known, replaced);
    }

    @Test
    void processesThatShareAFileSeeEachOthersIds() throws IOException {
        Path file = folder.resolve("ids");
        Files.write(file, new byte[100]);
        RequestIdTable first = RequestIdTable.sharedIn(file);
        RequestIdTable second = RequestIdTable.sharedIn(file);
        assertTrue(first.claim("a").isFirst());
        assertFalse(second.claim("a").isFirst());
        assertTrue(second.claim("b").isFirst());
        assertTrue(first.contains("b"));
        assertTrue(RequestIdTable.sharedIn(file).contains("a"));
        assertEquals(RequestIdTable.BYTES, Files.size(file));
    }

    @RepeatedTest(20)
    void ofClaimsAtTheSameTimeOneAtMostCounts() throws Exception {
        int ids = 800;
        Path file = folder.resolve("ids");
        List<RequestIdTable> tables =
                List.of(RequestIdTable.sharedIn(file), RequestIdTable.sharedIn(file));
        AtomicInteger[] claims = new AtomicInteger[ids];
        for (int i = 0; i < ids; i++) {
            claims[i] = new AtomicInteger();
        }
        List<Thread> threads = new ArrayList<>();
        for (RequestIdTable table : tables) {
            threads.add(new Thread(() -> {
                for (int i = 0; i < ids; i++) {
                    if (table.claim("id" + i).isFirst()) {
                        claims[i].incrementAndGet();
                    }
                }
            }));
        }
        threads.forEach(Thread::start);
        for (Thread thread : threads) {
            thread.join();
        }
        for (int i = 0; i < ids; i++) {
            assertTrue(claims[i].get() <= 1, "claims of id" + i + ": " + claims[i]);
        }
    }
}
