package passhatch.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The adapter command: input messages, output actions and the error messages for invalid input. */
class SimulatorAdapterTest {

    /** Settings of an instance, with a key that is not known. */
    private static final String SETTINGS = "{\"balancers\":2,\"layer\":0,\"layers\":[\"one\"],\"locality\":0,"
            + "\"novelty\":{\"x\":[1,{}]},\"resolutionUs\":1000,\"discovery\":\"on_request\","
            + "\"categories\":[{\"name\":\"read\",\"goalTimeUs\":200000,\"deadlineUs\":500000,\"worth\":1,"
            + "\"lateWorth\":0,\"effect\":\"pure\",\"group\":\"all\",\"dedupWindowUs\":0}],"
            + "\"limits\":{\"maxAttempts\":3,\"cancel\":true,\"probes\":false,\"mayDuplicate\":false},"
            + "\"rules\":{\"drainGraceUs\":1,\"askEveryUs\":9000000,\"coldFrom\":0.5,\"coldUs\":5,"
            + "\"tipMultiple\":2,"
            + "\"overloadForUs\":5},\"fees\":{\"probe\":0.01}}";
    /** Starts an instance and gives it a list of one server; some of the fields are not known. */
    private static final String START_MESSAGES =
            "{\"msg\":\"powerOn\",\"nonce64\":18446744073709551615,\"params\":"
            + SETTINGS
            + "},{\"msg\":\"catalog\",\"rosterId\":3,\"nodesList\":[{\"backend\":\"s:1\",\"bootTimeUs\":null,"
            + "\"model\":0,\"dc\":0,\"units\":1.5,\"group\":0,\"readiness\":\"U\",\"later\":1}]},"
            + "{\"msg\":\"backendsChanged\",\"gen\":1,\"rosterId\":3,\"mode\":\"remembered\"}";
    private static final String REQUEST_MESSAGE =
            "{\"msg\":\"inbound\",\"opId\":\"00ab\",\"profile\":0,\"billing\":null,"
            + "\"routeKey\":5,\"budgetUs\":400000,\"predictedUs\":null,\"marks\":0}";

    /** The exit status and the output of one run of the command line. */
    private record RunResult(int status, List<String> outputLines, String errorText) { }

    /** A line of input: a batch with messages to one instance. */
    private static String batch(long nowUs, int instanceId, String messages) {
        return "{\"atTimeUs\":" + nowUs + ",\"groups\":[{\"who\":" + instanceId + ",\"input\":[" + messages
                + "]}]}\n";
    }

    private static RunResult run(String input, String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int status = Main.run(args, new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out,
                new PrintStream(err, true, StandardCharsets.UTF_8));
        return new RunResult(status, out.toString(StandardCharsets.UTF_8).lines().toList(),
                err.toString(StandardCharsets.UTF_8));
    }

    @Test
    void answersEachBatchWithOneLine() {
        RunResult result = run("{\"atTimeUs\":1,\"groups\":[]}\n" + batch(5, 4, START_MESSAGES)
                + batch(6, 4, REQUEST_MESSAGE), "adapter");
        assertEquals(0, result.status(), result.errorText());
        assertEquals(3, result.outputLines().size());
        assertEquals("{\"groups\":[]}", result.outputLines().get(0));
        assertTrue(result.outputLines().get(1).startsWith(
                "{\"groups\":[{\"who\":4,\"cmds\":[{\"msg\":\"keepInformed\",\"enable\":true}"),
                result.outputLines().get(1));
        assertEquals("{\"groups\":[{\"who\":4,\"cmds\":[{\"msg\":\"relay\",\"opId\":\"00ab\","
                + "\"backend\":\"s:1\","
                + "\"limitUs\":400000}]}]}", result.outputLines().get(2));
    }

    @Test
    void failsARequestWhoseOnlyAttemptTimedOut() {
        String reply = "{\"msg\":\"reply\",\"opId\":\"00ab\",\"leg\":0,\"backend\":\"s:1\","
                + "\"ending\":\"DEADLINE_EXCEEDED\",\"elapsedUs\":400000,\"last\":false,\"stats\":null}";
        String clientLeft = "{\"msg\":\"left\",\"opId\":\"00ab\"}";
        RunResult result = run(batch(5, 4, START_MESSAGES) + batch(6, 4, REQUEST_MESSAGE)
                + batch(400006, 4, reply + "," + clientLeft), "adapter");
        assertEquals(0, result.status(), result.errorText());
        assertTrue(result.outputLines().get(2).contains("{\"msg\":\"abort\",\"opId\":\"00ab\"}"),
                result.outputLines().get(2));
    }

    @Test
    void rejectsMessagesToAnInstanceAfterItsTeardown() {
        RunResult result = run(batch(5, 4, START_MESSAGES) + batch(6, 4, "{\"msg\":\"teardown\"}")
                + batch(7, 4, REQUEST_MESSAGE), "adapter");
        assertEquals(1, result.status());
        assertEquals("passhatch: line 3: inbound: instance 4 was not started\n", result.errorText());
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', value = {
        "{\"atTimeUs\":1,\"groups\":[|line 1, column",
        "[]|a batch must be an object",
        "{\"groups\":[]}|field atTimeUs is missing",
        "{\"atTimeUs\":1}|field groups is missing",
        "{\"atTimeUs\":\"x\",\"groups\":[]}|field atTimeUs must be a whole number",
        "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"msg\":\"left\","
                + "\"opId\":\"a\"}]}]}|was not started",
        "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"opId\":\"a\"}]}]}|field msg is missing",
        "{\"atTimeUs\":1,\"groups\":[{\"input\":[]}]}|field who is missing",
        "{\"atTimeUs\":1,\"groups\":[{\"who\":1,\"input\":[{\"msg\":\"powerOn\","
                + "\"nonce64\":1}]}]}|params is missing",
    })
    void reportsInvalidInputInOneLine(String input, String expectedText) {
        RunResult result = run(input, "adapter");
        assertEquals(1, result.status());
        assertTrue(result.errorText().contains(expectedText), result.errorText());
        assertEquals(1, result.errorText().lines().count(), result.errorText());
    }

    @Test
    void namesTheInvalidFieldOfAMessageAndOfTheSettings() {
        RunResult result = run(batch(5, 4, START_MESSAGES)
                + batch(6, 4, REQUEST_MESSAGE.replace("\"budgetUs\":400000,", "")), "adapter");
        assertEquals("passhatch: line 2: inbound: field budgetUs is missing\n", result.errorText());
        result = run(batch(5, 4, START_MESSAGES.replace("\"maxAttempts\":3,", "")), "adapter");
        assertEquals("passhatch: line 1: powerOn: params.limits.maxAttempts is missing\n",
                result.errorText());
        result = run(batch(5, 4, START_MESSAGES.replace("\"coldFrom\":0.5", "\"coldFrom\":7")), "adapter");
        assertEquals("passhatch: line 1: powerOn: rules.coldFrom: must lie above 0, up to 1\n",
                result.errorText());
        result = run(batch(5, 4, START_MESSAGES) + batch(6, 4, "{\"msg\":\"greeting\"}"), "adapter");
        assertEquals("passhatch: line 2: message 'greeting' is not known\n", result.errorText());
    }

    @Test
    void appliesTheZonesAndMachineTypesOfAClass() {
        for (String restriction : List.of("\"runsIn\":[1]", "\"machineTypesOnly\":[2,3]", "\"runsIn\":[]")) {
            String startMessages = START_MESSAGES.replace("\"worth\":1", "\"worth\":1," + restriction);
            RunResult result = run(batch(5, 4, startMessages) + batch(6, 4, REQUEST_MESSAGE), "adapter");
            assertEquals(0, result.status(), result.errorText());
            assertFalse(result.outputLines().get(1).contains("relay"), result.outputLines().get(1));
        }
        String serverAllowed = START_MESSAGES
                .replace("\"worth\":1", "\"worth\":1,\"runsIn\":[0,1],\"machineTypesOnly\":[0]");
        assertTrue(run(batch(5, 4, serverAllowed) + batch(6, 4, REQUEST_MESSAGE),
                "adapter").outputLines().get(1).contains("relay"));
        RunResult result = run(batch(5, 4,
                START_MESSAGES.replace("\"worth\":1", "\"runsIn\":[\"x\"],\"worth\":1")), "adapter");
        assertEquals("passhatch: line 1: powerOn: params.categories[0].runsIn must hold whole numbers\n",
                result.errorText());
    }

    @Test
    void closesIdleConnectionsToADrainingServer() {
        String drainMessages = "{\"msg\":\"catalog\",\"rosterId\":3,\"nodesList\":[{\"backend\":\"s:1\","
                + "\"readiness\":\"L\"}]},"
                + "{\"msg\":\"backendsChanged\",\"gen\":2,\"rosterId\":3,\"mode\":\"changes\"}";
        String startMessages = START_MESSAGES.replace("\"coldUs\":5", "\"coldUs\":5,\"letGoInUs\":1000000");
        RunResult result = run(batch(5, 4, startMessages) + batch(6, 4, drainMessages), "adapter");
        assertTrue(result.outputLines().get(1).contains("{\"msg\":\"disconnect\",\"backend\":\"s:1\"}"),
                result.outputLines().get(1));
        result = run(batch(5, 4, START_MESSAGES) + batch(6, 4, drainMessages), "adapter");
        assertFalse(result.outputLines().get(1).contains("disconnect"), result.outputLines().get(1));
    }

    @Test
    void printsItsUsageWithoutOrWithAWrongArgument() {
        assertEquals(2, run("").status());
        assertTrue(run("", "wrong").errorText().startsWith("usage: "));
        assertEquals(0, run("", "adapter").status());
    }
}
