package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Computes the hashes by which nodes and engines identify cached prompt prefixes.
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
        int pieceCharacters = TokenCount.toCharacters(pieceTokens);
        List<Long> hashes = new ArrayList<>(prompt.length() / pieceCharacters);
        long previous = 0;
        for (int end = pieceCharacters; end <= prompt.length(); end += pieceCharacters) {
            previous = previous * 31 + HASH.hashChars(prompt, end - pieceCharacters, pieceCharacters);
            hashes.add(previous);
        }
        return hashes;
    }
}
