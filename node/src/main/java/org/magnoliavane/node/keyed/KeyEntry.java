package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Holds the state and the pending or completed result of a key in the key table.
 *
 * <p>Thread-safe. A key with a run token of this node run starts in the state {@link State#OWNED}.
 */
final class KeyEntry {

    /** States of a key. */
    enum State {
        /** The node run that claimed the key first is not known yet. */
        UNDECIDED,
        /** This node run owns the key; only it may dispatch the key, and only once. */
        OWNED,
        /** This node run no longer dispatches the key. */
        ABANDONED,
        /** This node run has confirmed to a node that it never dispatches the key. */
        VOIDED
    }

    private final CompletableFuture<Either<Fault, PlainResponse>> result = new CompletableFuture<>();
    private State state;
    private boolean mayBeAppended;

    KeyEntry(State state) {
        this.state = state;
    }

    CompletableFuture<Either<Fault, PlainResponse>> getResult() {
        return result;
    }

    synchronized State getState() {
        return state;
    }

    synchronized boolean isOwned() {
        return state == State.OWNED;
    }

    /**
     * Leaves the state {@link State#UNDECIDED}.
     *
     * @param next the next state
     * @return true for exactly one call; false when the state was left before
     */
    synchronized boolean tryDecide(State next) {
        if (state != State.UNDECIDED) {
            return false;
        }
        state = next;
        return true;
    }

    synchronized void setMayBeAppended() {
        mayBeAppended = true;
    }

    synchronized boolean mayBeAppended() {
        return mayBeAppended;
    }
}
