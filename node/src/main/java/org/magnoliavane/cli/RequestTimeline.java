package org.magnoliavane.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Collects the log lines about one request from the logs of several routers and sorts them by time.
 *
 * <p>Not thread-safe.
 */
final class RequestTimeline {
    private static final Pattern TIME = Pattern.compile("\\d{4}-\\d{2}-\\d{2}T[0-9:.]+Z");

    private final Pattern requestPattern;
    private final List<Line> lines = new ArrayList<>();

    RequestTimeline(String request) {
        requestPattern = Pattern.compile("\\brequest=" + Pattern.quote(request) + "(?![^\\s])");
    }

    /** Reads a log. Lines without a time are ignored, because they cannot be sorted. */
    void addLog(String name, BufferedReader log) throws IOException {
        String line = log.readLine();
        while (line != null) {
            Matcher time = TIME.matcher(line);
            if (requestPattern.matcher(line).find() && time.find()) {
                String event = line.substring(Math.max(0, line.indexOf("event=")));
                lines.add(new Line(time.group(), name, event));
            }
            line = log.readLine();
        }
    }

    List<ObjectNode> toJson() {
        return getSortedLines().stream()
                .map(l -> JsonNodeFactory.instance
                        .objectNode()
                        .put("time", l.time)
                        .put("log", l.log)
                        .put("event", l.event))
                .toList();
    }

    String toText() {
        TextTable table = new TextTable("time", "log", "event");
        getSortedLines().forEach(l -> table.addRow(l.time, l.log, l.event));
        return lines.isEmpty()
                ? "no log has a line about this request"
                : table.toString().strip();
    }

    boolean isEmpty() {
        return lines.isEmpty();
    }

    private List<Line> getSortedLines() {
        return lines.stream().sorted(Comparator.comparing(Line::time)).toList();
    }

    private record Line(String time, String log, String event) {}
}
