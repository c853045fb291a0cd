package org.magnoliavane.node.settings;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.logging.LogRecord;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.config.TextProblem;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class NodeSettingsTest {
    private static final String MINIMAL = """
            [node]
            id = "entry-1"
            zone = "a"
            [listen]
            host = "192.0.2.1"
            caller_port = 8080
            peer_port = 8081
            operator_port = 8082
            [platform]
            log = "http://192.0.2.7:7070"
            vm_list = "http://[2001:db8::7]:7071/"
            """;

    @Test
    public void minimalSettingsGetTheDocumentedDefaults() {
        NodeSettings settings = NodeSettings.parse(MINIMAL).get();
        assertEquals(settings.cluster(), "magnoliavane");
        assertEquals(settings.vmList(), new HttpEndpoint("2001:db8::7", 7071));
        assertEquals(settings.logRetentionMillis(), 604_800_000);
        assertEquals(settings.vmListPollMillis(), 500);
        assertEquals(settings.logLevel(), Level.INFO);
        assertEquals(settings.logFormat(), LogFormat.TEXT);
    }

    @DataProvider
    public Object[][] wrongTexts() {
        return new Object[][] {
            {"id = \"entry-1\"", "id = \"entry.1\"", "node.id: \"entry.1\""},
            {"id = \"entry-1\"", "name = \"entry-1\"", "node.id: missing"},
            {"192.0.2.1", "localhost", "listen.host: \"localhost\"; allowed: IP address of this node"},
            {"192.0.2.1", "0.0.0.0", "listen.host: \"0.0.0.0\""},
            {"192.0.2.1", "192.0.2.256", "listen.host: \"192.0.2.256\""},
            {"caller_port = 8080", "caller_port = 65536", "listen.caller_port: 65536; allowed: whole number from 1 to"},
            {
                "operator_port = 8082",
                "operator_port = 8081",
                "listen.operator_port: 8081; allowed: a port other than peer"
            },
            {"http://192.0.2.7:7070", "http://log.example:7070", "platform.log: \"http://log.example:7070\""},
            {"http://192.0.2.7:7070", "https://192.0.2.7:7070", "platform.log: \"https:"},
            {"[platform]", "[logging]\nlevel = \"warn\"\n[platform]", "remedy: write \"warning\"?"},
            {"[platform]", "[platform]\nlog_retention = 5", "platform.log_retention: unknown key"},
            {"[node]", "[node", "line 1"},
        };
    }

    /** Guards against a node that starts although a setting is wrong, with a value that the operator did not intend. */
    @Test(dataProvider = "wrongTexts")
    public void wrongSettingsAreNamedWithPathValueRangeAndRemedy(String right, String wrong, String expected) {
        List<TextProblem> problems =
                NodeSettings.parse(MINIMAL.replace(right, wrong)).getLeft();
        assertTrue(problems.stream().anyMatch(p -> p.toString().contains(expected)), problems.toString());
    }

    @Test
    public void allProblemsOfTheSettingsAreReportedAtOnce() {
        List<String> paths = NodeSettings.parse("[node]\nid = 5\n").getLeft().stream()
                .map(TextProblem::where)
                .toList();
        assertEquals(
                paths,
                List.of(
                        "node.id",
                        "node.zone",
                        "listen.host",
                        "listen.caller_port",
                        "listen.peer_port",
                        "listen.operator_port",
                        "platform.log",
                        "platform.vm_list"));
    }

    @Test
    public void aMissingFileIsNamed() {
        List<TextProblem> problems =
                NodeSettings.read(Path.of("no-such-file.toml")).getLeft();
        assertEquals(problems.get(0).where(), "no-such-file.toml");
    }

    /** Guards against messages with line breaks, whose further lines could be mistaken for events. */
    @Test
    public void anEventIsOneLineInBothFormats() throws IOException {
        LogRecord event = new LogRecord(java.util.logging.Level.WARNING, "a\nb \"c\"");
        event.setLoggerName("x");
        String text = new Logging.TextFormatter().format(event);
        assertTrue(text.endsWith(" WARNING x - a\\nb \"c\"\n"), text);
        String json = new Logging.JsonFormatter().format(event);
        assertEquals(json.indexOf('\n'), json.length() - 1);
        assertEquals(new ObjectMapper().readTree(json).get("message").textValue(), "a\nb \"c\"");
    }
}
