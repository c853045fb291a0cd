package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Computes the hashes by which routers and engines name cached prompt prefixes.
 */
public final class PromptPrefix {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private PromptPrefix() {}

    /**
     * Computes one hash for each whole piece of a prompt; the k-th hash covers the first k pieces.
     *
     * @param prompt the rendered prompt
     * @param pieceTokens the number of tokens in a piece
     * @return the hashes, shortest prefix first; empty when the prompt is shorter than a piece
     */
    public static List<Long> computeHashes(String prompt, int pieceTokens) {
        int step = TokenCount.toCharacters(pieceTokens);
        List<Long> hashes = new ArrayList<>(prompt.length() / step);
        long previous = 0;
        for (int end = step; end <= prompt.length(); end += step) {
            previous = previous * 31 + HASH.hashChars(prompt, end - step, step);
            hashes.add(previous);
        }
        return hashes;
    }
}
