package org.magnoliavane.emulator.load;

import java.util.SplittableRandom;

import org.magnoliavane.pool.TokenCount;

/**
 * Describes a prompt, so that its text need not be kept for the whole run.
 *
 * @param tokens the length
 * @param prefix the number of the shared prefix; negative when it has none
 * @param prefixTokens the length of the shared prefix
 * @param tail the text at the end, which tells the engine what to answer
 * @param seed the seed of the filler
 */
record PromptText(int tokens, int prefix, int prefixTokens, String tail, long seed) {
    /** Shortest prompt, which has room for the tail. */
    static final int MIN_TOKENS = 20;

    private static final int LETTERS = 26;
    private static final int WORD_CHARACTERS = 6;

    String toText() {
        int length = TokenCount.toCharacters(tokens);
        StringBuilder text = new StringBuilder(length);
        if (prefix >= 0) {
            appendWords(text, new SplittableRandom(prefix), TokenCount.toCharacters(prefixTokens));
        }
        appendWords(text, new SplittableRandom(seed), length - tail.length());
        return text.append(tail).toString();
    }

    private static void appendWords(StringBuilder text, SplittableRandom random, int length) {
        while (text.length() < length) {
            boolean space = text.length() % WORD_CHARACTERS == WORD_CHARACTERS - 1;
            text.append(space ? ' ' : (char) ('a' + random.nextInt(LETTERS)));
        }
    }
}
