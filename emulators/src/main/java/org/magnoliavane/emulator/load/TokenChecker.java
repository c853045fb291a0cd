package org.magnoliavane.emulator.load;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Checks an answer token by token: every position once, in order, and each with the check of its own prompt.
 *
 * <p>Not thread-safe.
 */
final class TokenChecker {
    private static final Pattern TOKEN = Pattern.compile("\\G w(\\d{1,9}):([0-9a-f]{8})(?![0-9a-f])");

    private final String check;
    private int position;
    private int lost;
    private int doubled;
    private int crossed;

    TokenChecker(String check) {
        this.check = check;
    }

    /** Takes the text of one event and returns the number of tokens in it. */
    int accept(String text) {
        int tokens = 0;
        int end = 0;
        for (Matcher matcher = TOKEN.matcher(text); matcher.find(); tokens++) {
            accept(Integer.parseInt(matcher.group(1)), matcher.group(2));
            end = matcher.end();
        }
        if (end < text.length()) {
            crossed++;
        }
        return tokens;
    }

    private void accept(int next, String found) {
        if (!found.equals(check)) {
            crossed++;
            return;
        }
        if (next <= position) {
            doubled++;
            return;
        }
        lost += next - position - 1;
        position = next;
    }

    /** Notes the length that a complete answer has. */
    void end(int expected) {
        lost += Math.max(0, expected - position);
        doubled += Math.max(0, position - expected);
    }

    int getPosition() {
        return position;
    }

    int getLost() {
        return lost;
    }

    int getDoubled() {
        return doubled;
    }

    int getCrossed() {
        return crossed;
    }
}
