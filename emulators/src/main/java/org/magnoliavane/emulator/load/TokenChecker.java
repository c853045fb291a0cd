package org.magnoliavane.emulator.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks the tokens of an answer: every position must arrive once and in order, with the check of the prompt.
 *
 * <p>Not thread-safe.
 */
final class TokenChecker {
    private static final Pattern TOKEN = Pattern.compile("\\G w(\\d{1,9}):([0-9a-f]{8})(?![0-9a-f])");

    private final String check;
    private int position;
    private int missing;
    private int duplicates;
    private int foreign;

    TokenChecker(String check) {
        this.check = check;
    }

    /** Checks the text of an event and returns the number of tokens in it. */
    int accept(String text) {
        int tokens = 0;
        int end = 0;
        for (Matcher matcher = TOKEN.matcher(text); matcher.find(); tokens++) {
            accept(Integer.parseInt(matcher.group(1)), matcher.group(2));
            end = matcher.end();
        }
        if (end < text.length()) {
            foreign++;
        }
        return tokens;
    }

    private void accept(int next, String found) {
        if (!found.equals(check)) {
            foreign++;
            return;
        }
        if (next <= position) {
            duplicates++;
            return;
        }
        missing += next - position - 1;
        position = next;
    }

    /** Checks the length of a complete answer, in tokens. */
    void checkLength(int expected) {
        missing += Math.max(0, expected - position);
        duplicates += Math.max(0, position - expected);
    }

    int getPosition() {
        return position;
    }

    int getMissingCount() {
        return missing;
    }

    int getDuplicateCount() {
        return duplicates;
    }

    int getForeignCount() {
        return foreign;
    }
}
