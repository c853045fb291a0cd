package org.magnoliavane.node.keyed;

import java.util.OptionalLong;

import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;

/**
 * Creates the faults of keyed calls.
 */
final class KeyFaults {
    private static final String NEW_KEY =
            "send the request with a new key that begins with a run token of /v1/addresses";
    private static final String SAME_KEY = "repeat the request with the same key after the stated time";
    private static final long RETRY_AFTER_MILLIS = 1000;

    private KeyFaults() {}

    static Fault missingKey() {
        return Fault.notRun(
                FaultKind.MISSING_IDEMPOTENCY_KEY,
                "the call changes something and carries no idempotency key",
                "send the header Idempotency-Key");
    }

    static Fault invalidKey(int maxLength) {
        return Fault.notRun(
                FaultKind.INVALID_REQUEST,
                "the idempotency key is empty or longer than " + maxLength + " characters",
                "send a key of 1 to " + maxLength + " characters");
    }

    static Fault foreignToken() {
        return Fault.unknownOutcome(
                FaultKind.INVALID_REQUEST, "the run token of the key was not issued by the run that it names", NEW_KEY);
    }

    static Fault expired(String message) {
        return Fault.unknownOutcome(
                FaultKind.EXPIRED_KEY, message, "find out whether the work was done, and only then use a new key");
    }

    static Fault conflict(boolean decided) {
        String message = "the key was used with another request";
        return decided
                ? Fault.notRun(FaultKind.KEY_CONFLICT, message, NEW_KEY)
                : Fault.unknownOutcome(
                                FaultKind.KEY_CONFLICT,
                                message + ", and it is not yet decided which one runs",
                                SAME_KEY)
                        .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault fullTable() {
        return Fault.notRun(
                        FaultKind.OVERLOADED,
                        "the node remembers as many keys as it can",
                        "ask /v1/addresses again and send the request with a key of a new run token")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault fullTableWithoutToken() {
        return Fault.unknownOutcome(FaultKind.OVERLOADED, "the node remembers as many keys as it can", SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault deadline() {
        return Fault.notRun(
                FaultKind.DEADLINE_EXCEEDED, "the deadline passed before the call could be dispatched", NEW_KEY);
    }

    static Fault inProgress() {
        return Fault.unknownOutcome(FaultKind.IN_PROGRESS, "a request with the same key is still running", SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault runGone(NodeRun run) {
        return Fault.unknownOutcome(
                FaultKind.OWNER_UNREACHABLE,
                "the node run " + run + ", which alone may run the key, has ended; the key never runs again",
                "find out whether the work was done, and only then use a new key");
    }

    static Fault unreachable(NodeRun run) {
        return Fault.unknownOutcome(
                        FaultKind.OWNER_UNREACHABLE,
                        "the node run " + run + ", which alone may run the key, cannot be reached at present",
                        SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault logUnavailable() {
        return Fault.notRun(
                        FaultKind.LOG_UNAVAILABLE,
                        "the log service cannot be reached, and a key without a run token needs it; no node has run the"
                                + " key or will",
                        NEW_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault logUndecided() {
        return Fault.unknownOutcome(
                        FaultKind.LOG_UNAVAILABLE,
                        "the log service cannot be reached, and a key without a run token needs it; this request was"
                                + " not dispatched, but another one with the same key may have been",
                        SAME_KEY + "; bookings with run tokens go on")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault voided() {
        return Fault.unknownOutcome(
                FaultKind.LOG_UNAVAILABLE,
                "the key was given up while the log service could not be reached",
                "find out whether the work was done, and only then use a new key");
    }

    static Fault tooLarge(NodeRun run, int maxBytes) {
        return Fault.unknownOutcome(
                FaultKind.TOO_LARGE,
                "a body of more than " + maxBytes + " bytes cannot be passed on to the node run " + run,
                "send the request to the address whose run token the key begins with");
    }

    static Fault answerTooLarge(NodeRun run) {
        return new Fault(
                FaultKind.TOO_LARGE,
                ExecutionStatus.YES,
                "the work ran, but its answer is too large to be passed on by another node",
                "repeat the request with the same key at the address of node " + run.node(),
                OptionalLong.of(0));
    }

    /** Tells the caller that the key is answered for good, because a late copy of it must not run either. */
    static Fault answeredForGood(Fault fault) {
        return new Fault(fault.kind(), fault.ran(), fault.message(), NEW_KEY, fault.retryAfterMillis());
    }

    static Fault dispatchFailed(Throwable cause) {
        return Fault.unknownOutcome(
                FaultKind.BACKEND_FAILED,
                "the dispatch failed: " + cause,
                "find out whether the work was done, and only then use a new key");
    }
}
