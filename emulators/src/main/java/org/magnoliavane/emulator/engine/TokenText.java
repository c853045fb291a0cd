package org.magnoliavane.emulator.engine;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import net.openhft.hashing.LongHashFunction;

/**
 * Computes the output of an engine, which depends on the prompt only. Token k is {@code " w<k>:<check>"}, where the
 * check is a checksum of the prompt in 8 hexadecimal digits. A prompt may set its check by
 * {@code check=<8 hex digits>}, because a caller does not know how the router renders its messages into a prompt and
 * cannot compute the hash.
 *
 * <p>Thread-safe.
 */
public final class TokenText {
    private static final LongHashFunction HASH = LongHashFunction.xx();
    private static final Pattern CHECK = Pattern.compile("check=([0-9a-f]{8})(?![0-9a-f])");
    private static final Pattern MAX_OUTPUT = Pattern.compile("max_output=([1-9][0-9]{0,6})");

    private TokenText() {}

    /**
     * Computes the check that every token of the answer to a prompt contains.
     *
     * @param prompt the rendered prompt
     * @return 8 hexadecimal digits: the last check that the prompt sets, or a hash of the prompt when it sets none
     */
    public static String computeCheck(String prompt) {
        return findLast(CHECK, prompt).orElseGet(() -> String.format("%08x", (int) HASH.hashChars(prompt)));
    }

    /**
     * Finds the output length that a prompt sets by {@code max_output=N}.
     *
     * @param prompt the rendered prompt
     * @return the last length that the prompt sets, in tokens; empty when it sets none
     */
    public static OptionalInt findMaxOutput(String prompt) {
        Optional<String> found = findLast(MAX_OUTPUT, prompt);
        return found.isPresent() ? OptionalInt.of(Integer.parseInt(found.get())) : OptionalInt.empty();
    }

    /**
     * Formats the text of a token.
     *
     * @param position the position, from 1
     * @param check the check of the prompt
     * @return the text
     */
    public static String format(int position, String check) {
        return " w" + position + ":" + check;
    }

    private static Optional<String> findLast(Pattern pattern, String prompt) {
        String found = null;
        for (Matcher matcher = pattern.matcher(prompt); matcher.find(); ) {
            found = matcher.group(1);
        }
        return Optional.ofNullable(found);
    }
}
