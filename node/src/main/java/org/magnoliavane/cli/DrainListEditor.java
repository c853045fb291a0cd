package org.magnoliavane.cli;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.magnoliavane.config.Configuration;
import org.magnoliavane.config.ConfigurationText;

/**
 * Edits one list of the table {@code [drain]} in the TOML text of a configuration and preserves the rest of the text. The
 * result is parsed and compared with the expected configuration, so that a text whose form is not supported is rejected
 * instead of published with a wrong change.
 */
final class DrainListEditor {
    private static final Pattern HEADER = Pattern.compile("(?m)^[ \\t]*\\[[ \\t]*drain[ \\t]*\\][ \\t]*(#.*)?$");
    private static final Pattern NEXT_HEADER = Pattern.compile("(?m)^[ \\t]*\\[");

    private final boolean nodes;
    private final String id;

    /**
     * Creates an editor.
     *
     * @param nodes true to edit the list of nodes, false to edit the list of workers
     * @param id the id to add or remove
     */
    DrainListEditor(boolean nodes, String id) {
        this.nodes = nodes;
        this.id = id;
    }

    boolean contains(String text) {
        return ConfigurationText.parse(text, 0)
                .map(this::getIds)
                .getOrElse(Set.of())
                .contains(id);
    }

    /** Returns the text with the id added, or empty if the form of the text is not supported. */
    Optional<String> add(String text) {
        Matcher header = HEADER.matcher(text);
        if (!header.find()) {
            String end = text.endsWith("\n") ? "" : "\n";
            return verify(text, text + end + "\n[drain]\n" + getKey() + " = [\"" + id + "\"]\n", true);
        }
        int[] list = findList(text, header.end());
        if (list == null) {
            int at = header.end();
            return verify(
                    text, text.substring(0, at) + "\n" + getKey() + " = [\"" + id + "\"]" + text.substring(at), true);
        }
        String inner = text.substring(list[0] + 1, list[1]);
        boolean empty = skipToValue(inner, 0) == inner.length();
        String added = "\"" + id + "\"" + (empty ? "" : ", ");
        return verify(text, text.substring(0, list[0] + 1) + added + text.substring(list[0] + 1), true);
    }

    /** Returns the text with the id removed, or empty if the form of the text is not supported. */
    Optional<String> remove(String text) {
        Matcher header = HEADER.matcher(text);
        int[] list = header.find() ? findList(text, header.end()) : null;
        if (list == null) {
            return Optional.empty();
        }
        int at = list[0] + 1;
        while ((at = skipToValue(text, at)) < list[1]) {
            int end = findValueEnd(text, at);
            if (end - at == id.length() + 2 && text.startsWith(id, at + 1)) {
                return verify(text, removeValue(text, list, at, end), false);
            }
            end = skipToValue(text, end);
            at = text.charAt(end) == ',' ? end + 1 : end;
        }
        return Optional.empty();
    }

    /** Removes a value with the comma after it, or with the comma before it if it is the last one. */
    private static String removeValue(String text, int[] list, int start, int end) {
        int from = start;
        int to = skipToValue(text, end);
        if (to < list[1] && text.charAt(to) == ',') {
            to++;
            while (to < list[1] && text.charAt(to) == ' ') {
                to++;
            }
            return text.substring(0, from) + text.substring(to);
        }
        int comma = text.lastIndexOf(',', start);
        from = comma > list[0] ? comma : start;
        return text.substring(0, from) + text.substring(end);
    }

    /** Finds the brackets of the list in the table that starts at an offset, or null if the table has no such list. */
    private int[] findList(String text, int from) {
        Matcher next = NEXT_HEADER.matcher(text);
        Pattern assignment = Pattern.compile("(?m)^[ \\t]*" + getKey() + "[ \\t]*=[ \\t]*\\[");
        Matcher matcher = assignment.matcher(text).region(from, text.length());
        if (!matcher.find() || next.find(from) && next.start() < matcher.start()) {
            return null;
        }
        int open = matcher.end() - 1;
        int at = open + 1;
        while ((at = skipToValue(text, at)) < text.length() && text.charAt(at) != ']') {
            at = text.charAt(at) == ',' ? at + 1 : findValueEnd(text, at);
        }
        return at < text.length() ? new int[] {open, at} : null;
    }

    /** Skips white space and comments. */
    private static int skipToValue(String text, int from) {
        int at = from;
        while (at < text.length()) {
            char c = text.charAt(at);
            if (c == '#') {
                int lineEnd = text.indexOf('\n', at);
                at = lineEnd < 0 ? text.length() : lineEnd;
            } else if (!Character.isWhitespace(c)) {
                return at;
            } else {
                at++;
            }
        }
        return at;
    }

    /** Finds the end of a string. Ids have no quotes and no escapes, so a string ends at the next quote of its kind. */
    private static int findValueEnd(String text, int from) {
        char quote = text.charAt(from);
        int end = quote == '"' || quote == '\'' ? text.indexOf(quote, from + 1) : -1;
        return end < 0 ? Math.min(from + 1, text.length()) : end + 1;
    }

    private Optional<String> verify(String before, String after, boolean added) {
        Configuration old = ConfigurationText.parse(before, 0).getOrNull();
        Configuration changed = ConfigurationText.parse(after, 0).getOrNull();
        if (old == null || changed == null) {
            return Optional.empty();
        }
        Set<String> expectedIds = new LinkedHashSet<>(getIds(old));
        if (added) {
            expectedIds.add(id);
        } else {
            expectedIds.remove(id);
        }
        Configuration expected = createWithIds(old, Collections.unmodifiableSet(expectedIds));
        return expected.equals(changed) ? Optional.of(after) : Optional.empty();
    }

    private Set<String> getIds(Configuration configuration) {
        return nodes ? configuration.drainedNodes() : configuration.drainedWorkers();
    }

    private Configuration createWithIds(Configuration old, Set<String> ids) {
        return new Configuration(
                old.version(),
                old.services(),
                old.classes(),
                old.defaultClass(),
                old.callers(),
                old.limits(),
                nodes ? ids : old.drainedNodes(),
                nodes ? old.drainedWorkers() : ids);
    }

    private String getKey() {
        return nodes ? "nodes" : "workers";
    }
}
