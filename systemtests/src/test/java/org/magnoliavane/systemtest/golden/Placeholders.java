package org.magnoliavane.systemtest.golden;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Replaces the parts of a session that differ between runs by placeholders. Equal request ids get the same placeholder,
 * so that a session also shows which ids are equal.
 *
 * <p>Not thread-safe.
 */
final class Placeholders {
    private static final Pattern RUN_TOKEN = Pattern.compile("(entry-\\d+)\\.[0-9a-f]{1,16}\\.\\d{10}");
    private static final Pattern RUN = Pattern.compile("(entry-\\d+)\\.[0-9a-f]{1,16}");
    private static final Pattern REQUEST = Pattern.compile("[0-9a-f]{32}");
    private static final Pattern UUID = Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}");
    private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:\\d+");
    private static final Pattern PORT = Pattern.compile("(\"(?:[a-z]+_)?port\":)\\d+");
    private static final Pattern CREATED = Pattern.compile("(\"created\":)\\d+");
    private static final Pattern TIME = Pattern.compile("\\d{4}-\\d\\d-\\d\\dT\\d\\d:\\d\\d:\\d\\d(\\.\\d+)?Z");

    private final Map<String, String> requests = new HashMap<>();

    String replaceVariableParts(String text) {
        String result = UUID.matcher(text).replaceAll("<uuid>");
        result = RUN_TOKEN.matcher(result).replaceAll("<run token of $1>");
        result = RUN.matcher(result).replaceAll("<run of $1>");
        result = REQUEST.matcher(result).replaceAll(this::toRequestPlaceholder);
        result = ADDRESS.matcher(result).replaceAll("127.0.0.1:<port>");
        result = PORT.matcher(result).replaceAll("$1<port>");
        result = CREATED.matcher(result).replaceAll("$1<seconds>");
        return TIME.matcher(result).replaceAll("<time>");
    }

    private String toRequestPlaceholder(MatchResult match) {
        return Matcher.quoteReplacement(
                requests.computeIfAbsent(match.group(), id -> "<request " + (requests.size() + 1) + ">"));
    }
}
