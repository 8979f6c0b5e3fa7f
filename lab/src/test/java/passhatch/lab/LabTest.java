package passhatch.lab;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The command line, the table it writes, and the clock of the simulated fleet. */
class LabTest {

    @TempDir
    private Path out;

    @Test
    void aSeedGivesTheSameTableToTheByte() throws IOException {
        for (String dir : List.of("a", "b")) {
            assertEquals(0, new CommandLine(new Lab()).execute("fleet", "--sizes", "20x30", "--runs", "1",
                    "--out", out.resolve(dir).toString()));
        }
        for (String file : List.of("fleet.md", "fleet.csv")) {
            assertArrayEquals(Files.readAllBytes(out.resolve("a").resolve(file)),
                    Files.readAllBytes(out.resolve("b").resolve(file)));
        }
    }

    @Test
    void theTableHoldsMedianAndSpreadFromTheFirstFigureOn() throws IOException {
        Results results = new Results(out, "t", 7, "abc");
        results.add("time", "1 x 2", "us", 3, 1, 1234.56);
        assertEquals("figure,size,median,least,most,runs,unit\n"
                + "\"time\",\"1 x 2\",\"3.000\",\"1.000\",\"1235\",\"3\",\"us\"\n",
                Files.readString(out.resolve("t.csv")));
        results.note("Said.");
        String page = Files.readString(out.resolve("t.md"));
        assertTrue(page.startsWith("# t\n\nSeed 7, revision abc, "), page);
        assertTrue(page.endsWith("| time | 1 x 2 | 3.000 | 1.000 | 1235 | 3 | us |\n\n- Said.\n"), page);
    }

    @Test
    void sizesAreReadAndOthersRefused() {
        Size.Converter converter = new Size.Converter();
        assertEquals(new Size(100, 30), converter.convert("100x30"));
        for (String bad : List.of("", "100", "x", "100x", "0x3", "1x2x3", "ax3")) {
            assertThrows(CommandLine.TypeConversionException.class, () -> converter.convert(bad), bad);
        }
    }

    @Test
    void eventsRunInTheOrderOfTheirTimesAndOfTheirAdding() {
        EventLoop loop = new EventLoop(100);
        List<String> ran = new ArrayList<>();
        loop.at(120, () -> ran.add("c"));
        loop.at(110, () -> loop.at(50, () -> ran.add("late, at " + loop.nowUs())));
        loop.at(110, () -> ran.add("a"));
        loop.at(131, () -> ran.add("not yet"));
        loop.runUntil(130);
        assertEquals(List.of("a", "late, at 110", "c"), ran);
        assertEquals(130, loop.nowUs());
    }

    @Test
    void theWorstWindowIsFound() {
        SlidingCount count = new SlidingCount(10);
        assertEquals(0, count.worst((from, to) -> 1));
        for (long at : new long[] {0, 9, 18, 20, 27, 40}) {
            count.add(at);
        }
        assertEquals(3, count.worst((from, to) -> 1));
        assertEquals(1, count.worst((from, to) -> from < 18 ? 2 : 3));
    }
}
