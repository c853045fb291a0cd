package org.magnoliavane.node.keyed;

import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.magnoliavane.Fault;

/**
 * Holds what the key table keeps for a key: the answer, or the wait for it.
 *
 * <p>Thread-safe. A key with a run token of this run starts in the state {@link State#OWNED}.
 */
final class KeyEntry {

    /** States of a key. */
    enum State {
        /** It is not known yet which run was the first to claim the key. */
        UNDECIDED,
        /** This run owns the key; only it may dispatch, and only once. */
        OWNED,
        /** This run does not dispatch the key any more. */
        GIVEN_UP,
        /** Another node made sure that this run never dispatches the key. */
        VOIDED
    }

    private final CompletableFuture<Either<Fault, PlainResponse>> answer = new CompletableFuture<>();
    private State state;
    private boolean mayBeAppended;

    KeyEntry(State state) {
        this.state = state;
    }

    CompletableFuture<Either<Fault, PlainResponse>> getAnswer() {
        return answer;
    }

    synchronized State getState() {
        return state;
    }

    synchronized boolean isOwned() {
        return state == State.OWNED;
    }

    /** Moves on from the state in which the owner of the key is not known; only one caller succeeds. */
    synchronized boolean decide(State next) {
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
