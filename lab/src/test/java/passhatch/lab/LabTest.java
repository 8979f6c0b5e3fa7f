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

/** Tests sizes on the command line, the tables, the simulated event loop and the sliding-window counter. */
class LabTest {

    @TempDir
    private Path outputDirectory;

    @Test
    void sameSeedGivesIdenticalTables() throws IOException {
        for (String dir : List.of("a", "b")) {
            assertEquals(0, new CommandLine(new Lab()).execute("fleet", "--sizes", "20x30", "--runs", "1",
                    "--out", outputDirectory.resolve(dir).toString()));
        }
        for (String file : List.of("fleet.md", "fleet.csv")) {
            assertArrayEquals(Files.readAllBytes(outputDirectory.resolve("a").resolve(file)),
                    Files.readAllBytes(outputDirectory.resolve("b").resolve(file)));
        }
    }

    @Test
    void tableIsWrittenAfterEachMeasurementAndNote() throws IOException {
        Results results = new Results(outputDirectory, "t", 7, "abc");
        results.add("time", "1 x 2", "us", 3, 1, 1234.56);
        assertEquals("figure,size,median,least,most,runs,unit\n"
                + "\"time\",\"1 x 2\",\"3.000\",\"1.000\",\"1235\",\"3\",\"us\"\n",
                Files.readString(outputDirectory.resolve("t.csv")));
        results.note("Said.");
        String markdown = Files.readString(outputDirectory.resolve("t.md"));
        assertTrue(markdown.startsWith("# t\n\nSeed 7, revision abc, "), markdown);
        assertTrue(markdown.endsWith("| time | 1 x 2 | 3.000 | 1.000 | 1235 | 3 | us |\n\n- Said.\n"),
                markdown);
    }

    @Test
    void sizesAreParsedAndMalformedOnesRejected() {
        FleetSize.Converter converter = new FleetSize.Converter();
        assertEquals(new FleetSize(100, 30), converter.convert("100x30"));
        for (String malformed : List.of("", "100", "x", "100x", "0x3", "1x2x3", "ax3")) {
            assertThrows(CommandLine.TypeConversionException.class, () -> converter.convert(malformed),
                    malformed);
        }
    }

    @Test
    void eventsRunInOrderOfTimeThenOfScheduling() {
        SimulatedEventLoop loop = new SimulatedEventLoop(100);
        List<String> ran = new ArrayList<>();
        loop.schedule(120, () -> ran.add("c"));
        loop.schedule(110, () -> loop.schedule(50, () -> ran.add("late, at " + loop.nowUs())));
        loop.schedule(110, () -> ran.add("a"));
        loop.schedule(131, () -> ran.add("not yet"));
        loop.runUntil(130);
        assertEquals(List.of("a", "late, at 110", "c"), ran);
        assertEquals(130, loop.nowUs());
    }

    @Test
    void maxRatioIsThatOfTheFullestWindow() {
        SlidingWindowCounter counter = new SlidingWindowCounter(10);
        assertEquals(0, counter.maxRatio((from, to) -> 1));
        for (long timeUs : new long[] {0, 9, 18, 20, 27, 40}) {
            counter.add(timeUs);
        }
        assertEquals(3, counter.maxRatio((from, to) -> 1));
        assertEquals(1, counter.maxRatio((from, to) -> from < 18 ? 2 : 3));
    }
}
