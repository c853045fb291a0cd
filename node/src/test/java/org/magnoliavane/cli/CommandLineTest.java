package org.magnoliavane.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpServer;
import org.magnoliavane.config.ConfigurationRecord.Publication;
import org.magnoliavane.config.ConfigurationRecord.Snapshot;
import org.magnoliavane.node.log.TestLogServer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class CommandLineTest {
    private static final Path EXAMPLE = Path.of("..", "examples", "wellenbund.toml");

    private TestLogServer server;
    private String log;
    private Path file;
    private String out;
    private String err;

    @BeforeMethod
    public void open() throws IOException {
        server = new TestLogServer();
        log = server.getEndpoint().toString();
        file = Files.createTempFile("magnoliavane", ".toml");
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        server.close();
        Files.delete(file);
    }

    @Test
    public void aPublishedTextIsShownUnchangedAndListed() throws IOException {
        String text = write("# first\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--author", "ann"), ExitStatus.OK);
        assertTrue(out.startsWith("version 1 accepted at offset 0"), out);
        assertEquals(run("show", "--log", log), ExitStatus.OK);
        assertEquals(out, text);
        write("# second\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--base", "1"), ExitStatus.OK);
        assertEquals(run("show", "--log", log, "--version", "1", "--json"), ExitStatus.OK);
        assertEquals(json().get("text").textValue(), text);
        assertEquals(run("history", "--log", log, "--json"), ExitStatus.OK);
        assertEquals(json().get("records").get(0).get("author").textValue(), "ann");
        assertEquals(json().get("version").longValue(), 2);
    }

    /** Reads the logs of two routers that both handled the request; one log also has lines about another request. */
    @Test
    public void explainMergesTheLogLinesOfARequestFromSeveralRoutersInOrderOfTime() throws IOException {
        Path other = Files.createTempFile("magnoliavane", ".log");
        write("12.1 2026-03-29T22:05:07.602Z INFO Run - event=end request=ab12 outcome=answered\n"
                + "2026-03-29T22:05:07.100Z INFO Run - event=prefill_done request=ab12 worker=i-1\n"
                + "2026-03-29T22:05:07.200Z INFO Run - event=decode request=ab123 worker=i-1\n");
        Files.writeString(other, "2026-03-29T22:05:07.300Z INFO Run - event=decode request=ab12 worker=i-2\n");
        try {
            int status =
                    run("explain", "ab12", "--router-log", file.toString(), "--router-log", other.toString(), "--json");
            assertEquals(status, ExitStatus.OK);
            assertEquals(json().get("events").size(), 3);
            assertEquals(
                    json().get("events").get(0).get("event").asText(), "event=prefill_done request=ab12 worker=i-1");
            assertEquals(json().get("events").get(1).get("log").asText(), other.toString());
            assertEquals(run("explain", "ab", "--router-log", file.toString()), ExitStatus.FAILED);
            assertEquals(run("explain", "ab12", "--router-log", file + ".missing"), ExitStatus.FAILED);
        } finally {
            Files.delete(other);
        }
    }

    /** Guards against an explanation of another request than the options describe, and against a wrong exit status. */
    @Test
    public void explainNowAsksTheRouterAndReportsItsErrors() throws IOException {
        HttpServer router = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        String url = "http://127.0.0.1:" + router.getAddress().getPort();
        router.createContext("/explain", exchange -> {
            String query = exchange.getRequestURI().getRawQuery();
            int status = query.contains("prompt_tokens=many") ? 400 : query.contains("host=early") ? 503 : 200;
            String key = status == 200 ? "asked" : "error";
            byte[] body = "{\"route\":null,\"%s\":\"%s\"}".formatted(key, query).getBytes();
            exchange.sendResponseHeaders(status, body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        router.start();
        try {
            int status = run(
                    "explain",
                    "--now",
                    "--router",
                    url,
                    "--host",
                    "h",
                    "--path",
                    "/a b",
                    "--organisation",
                    "x&y",
                    "--json");
            assertEquals(status, ExitStatus.OK);
            assertEquals(json().get("asked").asText(), "host=h&path=%2Fa+b&organisation=x%26y");
            assertEquals(run("explain", "--now", "--router", url, "--host", "h", "--path", "/"), ExitStatus.OK);
            assertTrue(out.contains("no route matches"), out);
            String[] invalid = {
                "explain", "--now", "--router", url, "--host", "h", "--path", "/", "--prompt-tokens", "many"
            };
            assertEquals(run(invalid), ExitStatus.USAGE);
            assertEquals(run("explain", "--now", "--router", url, "--host", "early", "--path", "/"), ExitStatus.FAILED);
            assertEquals(run("explain", "--now", "--router", url, "--host", "h"), ExitStatus.USAGE);
            assertEquals(run("explain", "--now", "ab12", "--router", url), ExitStatus.USAGE);
            assertEquals(run("explain"), ExitStatus.USAGE);
        } finally {
            router.stop(0);
        }
        int status = run("explain", "--now", "--router", url, "--host", "h", "--path", "/");
        assertEquals(status, ExitStatus.UNREACHABLE);
    }

    /** Guards against overwriting a change that another operator published in the meantime. */
    @Test
    public void aTextOnAnOldBaseIsRejectedAndTheReportNamesThePublicationThatCameFirst() throws IOException {
        publishDirectly(0, "# of bea\n", "bea");
        write("# of ann\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--base", "0"), ExitStatus.CONFLICT);
        assertTrue(err.contains("version 1 was published first on base 0, by bea"), err);
        assertTrue(err.contains("merge your change"), err);
        assertEquals(server.getLog().getNextOffset(), 1);
    }

    /** Guards against a publication that is reported as failed although it was accepted, or that is appended twice. */
    @Test
    public void aLostResponseIsResolvedByReadingTheStream() throws IOException {
        server.getLog().loseResponses(1);
        write("# first\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--json"), ExitStatus.OK);
        assertEquals(json().get("version").longValue(), 1);
        assertEquals(server.getLog().getNextOffset(), 1);
    }

    @Test
    public void anOutageEndsWithStatus3AndNothingPublished() throws IOException {
        server.getLog().setOutage(true);
        write("");
        assertEquals(run("publish", file.toString(), "--log", log, "--timeout-seconds", "1"), ExitStatus.UNREACHABLE);
        assertEquals(run("show", "--log", log, "--timeout-seconds", "1"), ExitStatus.UNREACHABLE);
        assertEquals(server.getLog().getNextOffset(), 0);
    }

    @Test
    public void dryRunAndDiffPublishNothing() throws IOException {
        publishDirectly(0, "# old\n", "ann");
        write("# new\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--dry-run", "--diff"), ExitStatus.OK);
        assertTrue(out.startsWith("- # old\n+ # new\nthe text is valid"), out);
        assertEquals(server.getLog().getNextOffset(), 1);
        assertEquals(run("publish", file.toString(), "--log", log, "--diff"), ExitStatus.OK);
        assertTrue(out.startsWith("- # old\n+ # new\nversion 2 accepted"), out);
    }

    @Test
    public void anInvalidTextIsNotSentAndEveryProblemIsPrinted() throws IOException {
        Files.writeString(file, "port = 1\n");
        assertEquals(run("publish", file.toString(), "--log", log), ExitStatus.USAGE);
        assertEquals(run("check", file.toString(), "--json"), ExitStatus.USAGE);
        assertEquals(json().get("problems").size(), 4);
        assertEquals(server.getLog().getNextOffset(), 0);
    }

    /** Guards against a cluster that cannot be configured anymore after log service and nodes have lost the history. */
    @Test
    public void aHistoryIsRestoredOnlyWhenTheStreamHasNoUsableVersion() throws IOException {
        publishDirectly(0, "# a\n", "ann");
        publishDirectly(1, "# b\n", "ann");
        String text = write("# restored\n");
        assertEquals(run("publish", file.toString(), "--log", log, "--restore", "9"), ExitStatus.FAILED);
        server.getLog().removeBefore(1);
        assertEquals(run("publish", file.toString(), "--log", log, "--timeout-seconds", "1"), ExitStatus.FAILED);
        assertEquals(run("publish", file.toString(), "--log", log, "--restore", "9"), ExitStatus.OK);
        assertEquals(run("show", "--log", log), ExitStatus.OK);
        assertEquals(out, text);
    }

    /** Guards against a publication that fails because retention removed the last snapshot during an outage. */
    @Test
    public void aPublicationWaitsForTheNextSnapshot() throws Exception {
        String text = publishDirectly(0, "# a\n", "ann");
        publishDirectly(1, "# b\n", "ann");
        server.getLog().removeBefore(2);
        write("# next\n");
        CompletableFuture<Long> snapshot = CompletableFuture.supplyAsync(
                () -> server.getLog()
                        .append("configuration", new Snapshot(2, 1, text).toBytes())
                        .toCompletableFuture()
                        .join(),
                CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS));
        assertEquals(run("publish", file.toString(), "--log", log, "--timeout-seconds", "10"), ExitStatus.OK, err);
        assertEquals(snapshot.get(), (Long) 2L);
        assertTrue(out.startsWith("version 3 accepted"), out);
    }

    @Test
    public void drainAndUndrainChangeOnlyTheList() throws IOException {
        String text = publishDirectly(0, "# a\n", "ann");
        assertEquals(run("drain", "node", "entry-3", "--log", log), ExitStatus.OK);
        assertEquals(run("drain", "node", "entry-3", "--log", log), ExitStatus.OK);
        assertTrue(out.contains("already in the drain list"), out);
        run("show", "--log", log);
        assertEquals(out, text.replace("nodes = []", "nodes = [\"entry-3\"]"));
        assertEquals(run("undrain", "node", "entry-3", "--log", log), ExitStatus.OK);
        run("show", "--log", log);
        assertEquals(out, text);
        assertEquals(run("drain", "zone", "a", "--log", log), ExitStatus.USAGE);
        assertEquals(run("drain", "node", "a\"b", "--log", log), ExitStatus.FAILED);
    }

    @DataProvider
    public Object[][] drainTables() {
        return new Object[][] {
            {"", "\n[drain]\nworkers = [\"w\"]\n"},
            {"[drain] # c\nnodes = [\"w\"]\n", "[drain] # c\nworkers = [\"w\"]\nnodes = [\"w\"]\n"},
            {"[drain]\nworkers = ['a', # ]\n 'b',\n]\n", "[drain]\nworkers = [\"w\", 'a', # ]\n 'b',\n]\n"},
            {"[drain]\nworkers = [\n # none\n]\n", "[drain]\nworkers = [\"w\"\n # none\n]\n"},
        };
    }

    /** Guards against an edit that removes comments or changes another key. */
    @Test(dataProvider = "drainTables")
    public void theDrainListIsChangedInEveryUsualForm(String table, String expected) throws IOException {
        String head = readWithoutDrain();
        DrainListEditor list = new DrainListEditor(false, "w");
        String changed = list.add(head + table).orElseThrow();
        assertEquals(changed, head + expected);
        assertEquals(list.contains(changed), true);
        assertEquals(list.contains(list.remove(changed).orElseThrow()), false);
    }

    @Test
    public void theLastAndMiddleIdsAreRemovedWithTheirComma() throws IOException {
        String head = readWithoutDrain() + "[drain]\nworkers = ";
        DrainListEditor list = new DrainListEditor(false, "w");
        assertEquals(list.remove(head + "['a', \"w\", 'b']").orElseThrow(), head + "['a', 'b']");
        assertEquals(list.remove(head + "['a', \"w\"]").orElseThrow(), head + "['a']");
        assertTrue(list.remove(head + "['a']").isEmpty());
    }

    @Test
    public void statusAndExplainQueryEveryNodeOfTheVmListAndNameThoseThatDoNotRespond() throws IOException {
        HttpServer node = serveNode();
        try {
            String url = "http://127.0.0.1:" + node.getAddress().getPort();
            assertEquals(run("status", "--vm-list", url), ExitStatus.FAILED);
            assertTrue(out.contains("entry-1  a          7        false    3\nentry-2  no answer\n"), out);
            assertTrue(out.contains("decode-1  briefings  decode  b     true     1 of 1\n"), out);
            assertTrue(out.contains("1 of 2 nodes answered"), out);
            assertEquals(run("status", "--node", url, "--json"), ExitStatus.OK);
            assertEquals(json().get("versions").toString(), "[7]");
            assertEquals(run("explain", "0".repeat(32), "--vm-list", url, "--json"), ExitStatus.OK);
            assertEquals(json().get("decisions").findValuesAsText("stage"), List.of("route", "place"));
            assertEquals(json().get("nodes_without_answer").size(), 1);
        } finally {
            node.stop(0);
        }
    }

    @Test
    public void everyCommandHasHelpWithExamplesAndStatuses() {
        assertEquals(run("--help"), ExitStatus.OK);
        for (String name : List.of(
                "node", "check", "publish", "show", "history", "status", "drain", "undrain", "explain", "hash-key")) {
            assertTrue(run("--help") == ExitStatus.OK && out.contains("  " + name), name);
            assertEquals(run(name, "--help"), ExitStatus.OK);
            assertTrue(out.contains("magnoliavane.jar " + name + " ") && out.contains("Exit status"), out);
        }
        assertEquals(run("publihs"), ExitStatus.USAGE);
        assertEquals(run(), ExitStatus.USAGE);
    }

    /** Guards against a node that starts although its settings are invalid. */
    @Test
    public void wrongSettingsStartNothingAndEndWithStatus2() throws IOException {
        Files.writeString(file, "[node]\n");
        assertEquals(run("node", "--settings", file.toString()), ExitStatus.USAGE);
        assertTrue(err.contains("node.id: missing"), err);
    }

    @Test
    public void hashKeyPrintsTheHashOfTheExamples() throws IOException {
        assertEquals(run("hash-key", "example-key-isarwelle"), ExitStatus.OK);
        assertTrue(Files.readString(EXAMPLE).contains(out.strip()), out);
    }

    private int run(String... arguments) {
        ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
        ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
        NodeStarter starter = settings -> {
            throw new AssertionError("started");
        };
        int status = new CommandLine(starter, new PrintStream(outBytes), new PrintStream(errBytes)).run(arguments);
        out = outBytes.toString(StandardCharsets.UTF_8);
        err = errBytes.toString(StandardCharsets.UTF_8);
        return status;
    }

    private JsonNode json() throws IOException {
        return new ObjectMapper().readTree(out);
    }

    private String write(String head) throws IOException {
        String text = head + Files.readString(EXAMPLE);
        Files.writeString(file, text);
        return text;
    }

    private String publishDirectly(long base, String head, String author) throws IOException {
        String text = head + Files.readString(EXAMPLE);
        server.getLog().append("configuration", new Publication(base, base + 1, text, author, "x" + base).toBytes());
        return text;
    }

    private static String readWithoutDrain() throws IOException {
        String text = Files.readString(EXAMPLE);
        return text.substring(0, text.indexOf("[drain]"));
    }

    private static HttpServer serveNode() throws IOException {
        HttpServer node = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        String vm =
                "{\"id\":\"entry-%d\",\"address\":\"127.0.0.1\",\"tags\":{\"role\":\"entry\",\"operator_port\":\"%d\"}}";
        serve(
                node,
                "/v1/vms",
                "{\"vms\":[" + vm.formatted(1, node.getAddress().getPort()) + "," + vm.formatted(2, 1) + "]}");
        serve(
                node,
                "/operator/status",
                "{\"node\":\"entry-1\",\"zone\":\"a\",\"configuration_version\":7,\"leaving\":false,\"active_requests\":3,"
                        + "\"backend_servers\":[{\"id\":\"decode-1\",\"service\":\"briefings\",\"role\":\"decode\","
                        + "\"zone\":\"b\",\"leaving\":true}]}");
        serve(
                node,
                "/operator/explain/",
                "{\"decisions\":[{\"at_millis\":2,\"stage\":\"place\"},{\"at_millis\":1,\"stage\":\"route\"}]}");
        node.start();
        return node;
    }

    private static void serve(HttpServer server, String path, String body) {
        server.createContext(path, exchange -> {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        });
    }
}
