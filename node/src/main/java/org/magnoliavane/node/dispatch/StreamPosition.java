package org.magnoliavane.node.dispatch;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies a position in the stream of an attempt. Its string form {@code <worker>/<attempt>/<position>} is the event
 * id that callers receive.
 *
 * <p>Immutable and thread-safe.
 *
 * @param worker the VM id of the decode worker
 * @param attempt the id of the attempt
 * @param position the number of tokens up to this position
 */
public record StreamPosition(String worker, String attempt, int position) {
    private static final Pattern FORMAT =
            Pattern.compile("([A-Za-z0-9._:-]{1,128})/([0-9a-f]{32}-[1-9][0-9]{0,2})/(0|[1-9][0-9]{0,8})");

    /**
     * Parses the string form.
     *
     * @param text the string
     * @return the position, or empty when the string is malformed
     */
    public static Optional<StreamPosition> parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int position = Integer.parseInt(matcher.group(3));
        return Optional.of(new StreamPosition(matcher.group(1), matcher.group(2), position));
    }

    @Override
    public String toString() {
        return worker + "/" + attempt + "/" + position;
    }
}
