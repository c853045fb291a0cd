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
 * Records requests with their responses, and commands with their output, as text.
 *
 * <p>Not thread-safe.
 */
final class GoldenSession {
    private static final long COMMAND_MILLIS = 30_000;
    private static final int SHOWN_BODY_BYTES = 2000;

    /** Headers that say nothing about the router, or that differ from run to run. */
    private static final Set<String> HIDDEN =
            Set.of("date", "content-length", "transfer-encoding", "connection", "host", "server");

    private final StringBuilder text = new StringBuilder();
    private final Placeholders placeholders = new Placeholders();
    private final Launcher launcher;

    GoldenSession(Launcher launcher) {
        this.launcher = launcher;
    }

    HttpResponse send(String title, Endpoint endpoint, HttpRequest request) throws IOException {
        title(title);
        line("> " + request.method() + " " + request.path());
        headers("> ", request.headers());
        body("> ", request.body());
        HttpResponse response = endpoint.send(request);
        line("< " + response.status());
        headers("< ", response.headers());
        body("< ", response.body());
        return response;
    }

    /** Runs an operators' command; the arguments are shown without the directories of files. */
    void run(String title, String... arguments) throws IOException {
        title(title);
        StringBuilder command = new StringBuilder("$ magnoliavane");
        for (String argument : arguments) {
            boolean isFile = !argument.contains(":") && argument.endsWith(".toml");
            command.append(' ').append(isFile ? Path.of(argument).getFileName().toString() : argument);
        }
        line(command.toString());
        ManagedProcess process = launcher.startClient("golden", arguments);
        int status = process.awaitEnd(COMMAND_MILLIS).orElseThrow();
        process.getOutput().forEach(l -> line(withoutLayout(l)));
        line("exit status " + status);
    }

    /** Compares the session with its file, or writes the file. */
    void settle(Path file, boolean renew) throws IOException {
        if (renew) {
            Files.writeString(file, text.toString());
            return;
        }
        String[] expected = Files.readString(file).split("\n", -1);
        String[] found = text.toString().split("\n", -1);
        for (int i = 0; i < Math.max(expected.length, found.length); i++) {
            String wanted = i < expected.length ? expected[i] : "(end of file)";
            String got = i < found.length ? found[i] : "(end of session)";
            if (!wanted.equals(got)) {
                throw new AssertionError(file.getFileName() + " line " + (i + 1) + "\nexpected: " + wanted
                        + "\nfound:    " + got + "\nIf the change is meant, renew the file (docs/golden-sessions.md).");
            }
        }
    }

    /** The widths of columns depend on the user name, the author of the first version. */
    private static String withoutLayout(String output) {
        return output.replaceAll(" {2,}", "  ").replace("  " + System.getProperty("user.name") + "  ", "  <user>  ");
    }

    private void title(String title) {
        line((text.isEmpty() ? "" : "\n") + "## " + title);
    }

    private void headers(String prefix, Map<String, String> headers) {
        Map<String, String> shown = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        shown.putAll(headers);
        shown.keySet().removeIf(name -> HIDDEN.contains(name.toLowerCase(Locale.ROOT)));
        shown.forEach((name, value) -> line(prefix + name + ": " + value));
    }

    private void body(String prefix, byte[] body) {
        if (body.length > SHOWN_BODY_BYTES && prefix.startsWith(">")) {
            line(prefix + "(" + body.length + " bytes)");
            return;
        }
        new String(body, StandardCharsets.UTF_8)
                .lines()
                .filter(l -> !l.startsWith(":"))
                .forEach(l -> line(prefix + l));
    }

    private void line(String line) {
        text.append(placeholders.apply(line).stripTrailing()).append('\n');
    }
}
