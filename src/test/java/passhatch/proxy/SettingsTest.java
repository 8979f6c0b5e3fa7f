package passhatch.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import passhatch.Balancer;

/** Validation of settings, and their isolation between proxies of different customers. */
@Timeout(60)
final class SettingsTest {

    @TempDir
    Path folder;
    @TempDir
    Path otherFolder;

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            "name":"board"          | "name":null        | categories[0].name
            "name":"board"          | "name":""          | categories[0].name
            "name":"board"          | "name":7           | categories[0].name
            "name":"board"          | "name":"buy"       | name is missing or given twice
            "name":"acme"           | "title":"acme"     | tenants[0].name
            "effect":"pure"         | "effect":"Pure"    | effect
            "group":"all"           | "group":"pod"      | group
            "deadlineUs":10000000   | "deadlineUs":0     | deadlineUs
            "deadlineUs":10000000   | "deadlineUs":null  | deadlineUs
            "goalTimeUs":9000000    | "goalTimeUs":"9 s" | goalTimeUs
            "maxAttempts":3         | "maxAttempts":0    | limits.maxAttempts
            "connectTimeoutUs":8000000 | "connectTimeoutUs":"8" | connectTimeoutUs
            "connectTimeoutUs":8000000 | "connectTimeoutUs":0 | connectTimeoutUs
            "sockets":256           | "sockets":0        | limits.sockets
            "sockets":256           | "sockets":"many"   | limits.sockets
            "drainGraceUs":2000000  | "drainGraceUs":-1  | rules.drainGraceUs
            "balancers":1           | "balancers":0      | copies
            """)
    void invalidSettingFailsTheStartWithOneLine(String original, String replacement, String expectedMessage)
            throws Exception {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        try (Rig rig = new Rig(folder)) {
            assertEquals(2, ProxyServer.serve(rig.replaceInConfig(original, replacement).environment(),
                    new PrintStream(err)));
        }
        String text = err.toString(StandardCharsets.UTF_8);
        assertEquals(1, text.lines().count(), text);
        assertTrue(text.contains(expectedMessage), text);
    }

    /**
     * Guards against settings that are shared by the JVM. The two proxies have a request class of the same
     * name with different effects, and each has classes and tenants that the other lacks.
     */
    @Test
    void proxiesInOneJvmKeepTheirOwnSettings() throws Exception {
        try (Rig one = new Rig(folder); Rig other = new Rig(otherFolder)) {
            ScriptedServer backend = one.backend((connection, request) -> connection.respond("200 OK", "x"));
            String entry = Rig.entry("s", backend.address(), "SERVING");
            one.start(entry);
            other.replaceInConfig("\"name\":\"buy\"", "\"name\":\"board-fee\"")
                    .replaceInConfig("\"effect\":\"pure\"", "\"effect\":\"side_effect\"")
                    .replaceInConfig("\"name\":\"acme\"", "\"name\":\"acme-2\"").start(entry);
            assertEquals(200, one.call(Rig.get("a", "X-Tenant: acme\r\n")).status());
            assertEquals(400, other.call(Rig.get("a", "")).status(),
                    "GET is refused, as the class has side effects in this proxy");
            assertEquals(200, other.call(Rig.post("/board", "b", "X-Tenant: acme-2\r\n")).status());
            assertEquals(400, other.call(Rig.post("/board", "c", "X-Tenant: acme\r\n")).status());
            assertEquals(200, other.call(Rig.post("/board-fee", "d", "Idempotency-Key: k\r\n")).status());
            assertEquals(400, other.call(Rig.post("/board-fee", "e", "")).status(),
                    "the idempotency key is missing");
            assertEquals(404, one.call(Rig.post("/board-fee", "f", "Idempotency-Key: k\r\n")).status());
            assertEquals(404, one.call(Rig.post("/boar", "g", "")).status());
        }
    }

    /** Guards against counting a request without a tenant towards the quota of the first tenant. */
    @Test
    void requestWithoutATenantBelongsToNoTenant() throws Exception {
        BlockingQueue<Integer> tenants = new LinkedBlockingQueue<>();
        try (Rig rig = new Rig(folder)) {
            rig.module((settings, seed, actions) -> ScriptedModule.of((method, args) -> {
                if (args[args.length - 1] instanceof Balancer.Request request) {
                    tenants.add(request.tenant());
                    actions.refuse(request.id(), 0);
                }
            })).start();
            rig.call(Rig.get("a", "X-Tenant: acme\r\n"));
            rig.call(Rig.get("b", ""));
        }
        assertEquals(List.of(0, 1), List.copyOf(tenants));
    }
}
