package org.magnoliavane.emulator.load;

import java.util.SplittableRandom;

import org.magnoliavane.pool.TokenCount;

/**
 * Describes a prompt whose text is generated only when it is sent, so that the texts of a run need not be kept in
 * memory.
 *
 * @param tokens the length in tokens
 * @param prefix the number of the shared prefix; negative when the prompt has none
 * @param prefixTokens the length of the shared prefix in tokens
 * @param tail the text at the end, which sets the check and the length of the output of the engine
 * @param seed the seed of the filler words
 */
record PromptText(int tokens, int prefix, int prefixTokens, String tail, long seed) {
    /** Length of the shortest prompt, in tokens; it must be able to hold the tail. */
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
