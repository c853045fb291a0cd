package org.magnoliavane.emulator.engine;

/**
 * Tracks the free and reserved pieces of the memory of an engine.
 *
 * <p>Not thread-safe.
 */
final class PieceMemory {
    private final int total;
    private final int pieceTokens;
    private int used;

    PieceMemory(int total, int pieceTokens) {
        this.total = total;
        this.pieceTokens = pieceTokens;
    }

    int getTotal() {
        return total;
    }

    int getUsed() {
        return used;
    }

    int getFree() {
        return total - used;
    }

    /** Computes the number of pieces that a number of tokens occupies. */
    int computePieces(int tokens) {
        return (tokens + pieceTokens - 1) / pieceTokens;
    }

    boolean tryReserve(int pieces) {
        if (pieces > getFree()) {
            return false;
        }
        used += pieces;
        return true;
    }

    void release(int pieces) {
        if (pieces > used) {
            throw new IllegalStateException("released " + pieces + " pieces of " + used + " used");
        }
        used -= pieces;
    }
}
