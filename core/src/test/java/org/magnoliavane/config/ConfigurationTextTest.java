package org.magnoliavane.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ConfigurationTextTest {
    private static final String MINIMAL = TestTexts.minimal();

    @DataProvider
    public Object[][] invalidTexts() {
        return new Object[][] {
            {"port = 1", "port: unknown key"},
            {"[limits]\nmax_body_byte = 2000", "limits.max_body_byte: unknown key; allowed: max_body_bytes"},
            {"[limits]\nmax_body_byte = 2000", "remedy: write max_body_bytes?"},
            {"[limits]\nretry_budget_percent = 101", "limits.retry_budget_percent: 101; allowed: whole number from 0 to"
            },
            {"[limits]\nretry_budget_percent = 5.5", "limits.retry_budget_percent: 5.5; allowed: whole number"},
            {"limits = 3", "limits: 3; allowed: a table"},
            {
                "[classes.slow]\nmicros_per_token = 11\nttft_millis = 9999",
                "classes.slow.micros_per_token: 11; allowed: at"
            },
            {"[classes.slow]\nttft_millis = 9999", "classes.slow.micros_per_token: missing"},
            {"[services.a]\nkind = \"plain\"", "services.a.routes: no route"},
            {"[services.a]\nkind = \"modal\"", "remedy: write \"model\"?"},
            {service("a", "/x", "depends_on = [\"b\"]"), "services.a.depends_on: \"b\"; allowed: names of services"},
            {service("a", "/x", "depends_on = [\"a\"]"), "services.a.depends_on: cycle a → a"},
            {
                service("a", "/x", "depends_on = [\"b\"]") + service("b", "/y", "depends_on = [\"a\"]"),
                "depends_on: cycle a → b → a"
            },
            {service("a", "/bookings", ""), "services.a.routes[0]: POST /bookings; allowed: routes that do not overlap"
            },
            {service("a", "/x/*", "") + service("b", "/x/y", ""), "services.b.routes[0]: POST /x/y"},
            {service("a", "/v1/models", ""), "services.a.routes[0].path: \"/v1/models\"; allowed: path outside /v1/"},
            {service("a", "x", ""), "services.a.routes[0].path: \"x\"; allowed: path such as"},
            {service("a", "/x", "models = [\"m\"]"), "services.a.models: unknown key"},
            {TestTexts.model("other", "m1"), "services.other.models: \"m1\"; allowed: a model of one service only"},
            {
                TestTexts.model("other", "m2") + "max_output_tokens = 999_999\n",
                "services.other.max_output_tokens: 999999"
            },
            {TestTexts.caller("eve", "k1", "[]"), "callers.eve.key_sha256: the hash of callers.ann"},
            {TestTexts.caller("eve", "k2", "[\"bokings\"]"), "callers.eve.services: \"bokings\""},
            {"[callers.eve]\nkey_sha256 = \"secret\"", "callers.eve.key_sha256: \"secret\"; allowed: 64 lower-case"},
            {"[drain]\nnodes = [\"a.b\"]", "drain.nodes[0]: \"a.b\""},
            {"[drain]\nworkers = [\"w\", \"w\"]", "drain.workers[1]: \"w\"; allowed: each string once"},
            {"a = \nb = 1", "line "},
        };
    }

    /** Guards against texts that are accepted although a part of them is invalid or ignored. */
    @Test(dataProvider = "invalidTexts")
    public void anInvalidTextIsRejectedWithPathValueAllowedRangeAndRemedy(String extra, String expected) {
        String text = extra.startsWith("[") ? MINIMAL + extra : extra + "\n" + MINIMAL;
        List<TextProblem> problems = ConfigurationText.parse(text, 1).getLeft();
        String all =
                String.join("\n", problems.stream().map(TextProblem::toString).toList());
        assertTrue(all.contains(expected), all);
        assertTrue(
                problems.stream()
                        .allMatch(p -> !p.allowed().isEmpty() && !p.remedy().isEmpty()),
                all);
    }

    /** Guards against consequential problems that hide the cause. */
    @Test
    public void exactlyTheProblemsOfATextAreReportedAllAtOnce() {
        String text = MINIMAL.replace("ttft_millis = 500", "ttft_millis = 0")
                + "[limits]\nmax_body_bytes = 1\n[drain]\nnode = []\n";
        List<String> paths = ConfigurationText.parse(text, 1).getLeft().stream()
                .map(TextProblem::where)
                .toList();
        assertEquals(paths, List.of("limits.max_body_bytes", "classes.standard.ttft_millis", "drain.node"));
    }

    @Test
    public void anEmptyTextIsRejectedBecauseItWouldStopEveryService() {
        List<String> paths = ConfigurationText.parse("", 1).getLeft().stream()
                .map(TextProblem::where)
                .toList();
        assertEquals(paths, List.of("classes", "services", "callers"));
    }

    @Test
    public void aMinimalTextGetsTheDocumentedDefaults() {
        Configuration parsed = ConfigurationText.parse(MINIMAL, 7).get();
        assertEquals(parsed.version(), 7);
        assertEquals(parsed.limits(), Limits.DEFAULT);
        assertEquals(parsed.defaultClass(), "standard");
        assertEquals(parsed.classes().get("standard"), new PriceClass("standard", 10, 500, 100, 500));
        assertEquals(parsed.callers().get("ann").partner(), "ann");
        assertEquals(
                parsed.findServiceOfModel("m1")
                        .orElseThrow()
                        .model()
                        .orElseThrow()
                        .pieceTokens(),
                2048);
        assertFalse(parsed.services().get("bookings").routes().get(0).idempotent());
    }

    /**
     * Guards against a published text that overflows the small stack of a node's thread instead of being rejected.
     */
    @Test
    public void deeplyNestedAndHugeTextsAreRejectedOnASmallStack() throws InterruptedException {
        StringBuilder chain = new StringBuilder(MINIMAL);
        for (int i = 0; i < 190; i++) {
            chain.append(service("s" + i, "/p" + i, "depends_on = [\"s" + (i + 1) % 190 + "\"]"));
        }
        List<String> texts = List.of(
                "a = " + "[".repeat(200_000),
                "a.".repeat(100_000) + "a = 1",
                "a = {b = ".repeat(50_000),
                "#".repeat(ConfigurationText.MAX_BYTES + 1),
                "[limits]\nmax_body_bytes = 1e999999999",
                chain.toString());
        AtomicInteger rejected = new AtomicInteger();
        Runnable parse = () -> texts.forEach(
                t -> rejected.addAndGet(ConfigurationText.parse(t, 1).isLeft() ? 1 : 0));
        Thread thread = new Thread(null, parse, "small-stack", 256 * 1024);
        thread.start();
        thread.join();
        assertEquals(rejected.get(), texts.size());
    }

    @Test
    public void theExamplesAreAccepted() throws IOException {
        for (String name : List.of("wellenbund", "failte-abhaile")) {
            String text = Files.readString(Path.of("..", "examples", name + ".toml"));
            Configuration parsed =
                    ConfigurationText.parse(text, 1).getOrElseThrow(p -> new AssertionError(p.toString()));
            assertEquals(parsed.classes().keySet().toString(), "[urgent, standard, patient]");
        }
    }

    private static String service(String name, String path, String keys) {
        return "[services." + name + "]\nkind = \"plain\"\n" + keys + "\nroutes = [{method = \"POST\", path = \"" + path
                + "\"}]\n";
    }
}
