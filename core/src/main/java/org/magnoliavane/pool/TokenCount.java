package org.magnoliavane.pool;

/**
 * Estimates the number of tokens of a text. The engine emulator counts in the same way.
 */
public final class TokenCount {
    private static final int CHARACTERS_PER_TOKEN = 4;

    private TokenCount() {}

    /**
     * Counts the tokens of a rendered prompt.
     *
     * @param text the text
     * @return the number of tokens, at least 1
     */
    public static int of(String text) {
        return Math.max(1, (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /**
     * Gets the number of characters that a number of tokens takes.
     *
     * @param tokens the number of tokens
     * @return the number of characters
     */
    public static int toCharacters(int tokens) {
        return tokens * CHARACTERS_PER_TOKEN;
    }
}
