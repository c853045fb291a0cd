package org.magnoliavane.pool;

/**
 * Estimates the number of tokens of a text from its length. The engine emulator uses the same estimate.
 */
public final class TokenCount {
    private static final int CHARACTERS_PER_TOKEN = 4;

    private TokenCount() {}

    /**
     * Estimates the number of tokens of a rendered prompt.
     *
     * @param text the text
     * @return the number of tokens, at least 1
     */
    public static int of(String text) {
        return Math.max(1, (text.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /**
     * Converts a number of tokens to a number of characters.
     *
     * @param tokens the number of tokens
     * @return the number of characters
     */
    public static int toCharacters(int tokens) {
        return tokens * CHARACTERS_PER_TOKEN;
    }
}
