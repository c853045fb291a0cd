package org.magnoliavane.systemtest.golden;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.HttpResponse;
import org.magnoliavane.systemtest.Endpoint;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.ManagedProcess;

/**
 * Records requests with their responses, and commands with their output, as text that is compared with a golden file.
 *
 * <p>Not thread-safe.
 */
final class GoldenSession {
    private static final long COMMAND_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_SHOWN_BODY_BYTES = 2000;

    /** Headers that do not describe the router or that differ between runs. */
    private static final Set<String> HIDDEN_HEADERS =
            Set.of("date", "content-length", "transfer-encoding", "connection", "host", "server");

    private final StringBuilder text = new StringBuilder();
    private final Placeholders placeholders = new Placeholders();
    private final Launcher launcher;

    GoldenSession(Launcher launcher) {
        this.launcher = launcher;
    }

    HttpResponse send(String title, Endpoint endpoint, HttpRequest request) throws IOException {
        appendTitle(title);
        appendLine("> " + request.method() + " " + request.path());
        appendHeaders("> ", request.headers());
        appendBody("> ", request.body());
        HttpResponse response = endpoint.send(request);
        appendLine("< " + response.status());
        appendHeaders("< ", response.headers());
        appendBody("< ", response.body());
        return response;
    }

    /** Runs an operators' command. The recorded arguments show file names without their directories. */
    void runCommand(String title, String... arguments) throws IOException {
        appendTitle(title);
        StringBuilder command = new StringBuilder("$ magnoliavane");
        for (String argument : arguments) {
            boolean isFile = !argument.contains(":") && argument.endsWith(".toml");
            command.append(' ').append(isFile ? Path.of(argument).getFileName().toString() : argument);
        }
        appendLine(command.toString());
        ManagedProcess process = launcher.startClient("golden", arguments);
        int status = process.awaitExit(COMMAND_TIMEOUT_MILLIS).orElseThrow();
        process.getOutputLines().forEach(l -> appendLine(normalizeColumns(l)));
        appendLine("exit status " + status);
    }

    /** Compares the session with its golden file, or writes the file when {@code renew} is set. */
    void compareOrRenew(Path file, boolean renew) throws IOException {
        if (renew) {
            Files.writeString(file, text.toString());
            return;
        }
        String[] expected = Files.readString(file).split("\n", -1);
        String[] found = text.toString().split("\n", -1);
        for (int i = 0; i < Math.max(expected.length, found.length); i++) {
            String expectedLine = i < expected.length ? expected[i] : "(end of file)";
            String foundLine = i < found.length ? found[i] : "(end of session)";
            if (!expectedLine.equals(foundLine)) {
                throw new AssertionError(
                        file.getFileName() + " line " + (i + 1) + "\nexpected: " + expectedLine + "\nfound:    "
                                + foundLine + "\nIf the change is intended, renew the file (docs/golden-sessions.md).");
            }
        }
    }

    /** Removes differences in the widths of columns, which depend on the user name, the author of the first version. */
    private static String normalizeColumns(String output) {
        return output.replaceAll(" {2,}", "  ").replace("  " + System.getProperty("user.name") + "  ", "  <user>  ");
    }

    private void appendTitle(String title) {
        appendLine((text.isEmpty() ? "" : "\n") + "## " + title);
    }

    private void appendHeaders(String prefix, Map<String, String> headers) {
        Map<String, String> shown = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        shown.putAll(headers);
        shown.keySet().removeIf(name -> HIDDEN_HEADERS.contains(name.toLowerCase(Locale.ROOT)));
        shown.forEach((name, value) -> appendLine(prefix + name + ": " + value));
    }

    private void appendBody(String prefix, byte[] body) {
        if (body.length > MAX_SHOWN_BODY_BYTES && prefix.startsWith(">")) {
            appendLine(prefix + "(" + body.length + " bytes)");
            return;
        }
        new String(body, StandardCharsets.UTF_8)
                .lines()
                .filter(l -> !l.startsWith(":"))
                .forEach(l -> appendLine(prefix + l));
    }

    private void appendLine(String line) {
        text.append(placeholders.replaceVariableParts(line).stripTrailing()).append('\n');
    }
}
