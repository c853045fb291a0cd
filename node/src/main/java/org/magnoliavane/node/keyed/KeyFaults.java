package org.magnoliavane.node.keyed;

import java.util.OptionalLong;

import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;
import org.magnoliavane.NodeRun;

/**
 * Creates the faults of requests with an idempotency key.
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
                "the request is not idempotent and has no idempotency key",
                "send the header Idempotency-Key");
    }

    static Fault invalidKey(int maxLength) {
        return Fault.notRun(
                FaultKind.INVALID_REQUEST,
                "the idempotency key is empty or longer than " + maxLength + " characters",
                "send a key of 1 to " + maxLength + " characters");
    }

    static Fault invalidToken() {
        return Fault.unknownOutcome(
                FaultKind.INVALID_REQUEST, "the run token of the key was not issued by the run that it names", NEW_KEY);
    }

    static Fault expiredKey(String message) {
        return Fault.unknownOutcome(
                FaultKind.EXPIRED_KEY, message, "find out whether the work was done, and only then use a new key");
    }

    static Fault conflict(boolean decided) {
        String message = "the key was used with another request";
        return decided
                ? Fault.notRun(FaultKind.KEY_CONFLICT, message, NEW_KEY)
                : Fault.unknownOutcome(
                                FaultKind.KEY_CONFLICT,
                                message + ", and it is not yet decided which one is executed",
                                SAME_KEY)
                        .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault tableFull() {
        return Fault.notRun(
                        FaultKind.OVERLOADED,
                        "the key table of the node is full",
                        "get a new run token from /v1/addresses and send the request with a key that begins with it")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault tableFullWithoutToken() {
        return Fault.unknownOutcome(FaultKind.OVERLOADED, "the key table of the node is full", SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault deadlineExceeded() {
        return Fault.notRun(
                FaultKind.DEADLINE_EXCEEDED, "the deadline passed before the request could be dispatched", NEW_KEY);
    }

    static Fault inProgress() {
        return Fault.unknownOutcome(FaultKind.IN_PROGRESS, "a request with the same key is still running", SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault ownerEnded(NodeRun run) {
        return Fault.unknownOutcome(
                FaultKind.OWNER_UNREACHABLE,
                "the node run " + run + ", which alone may run the key, has ended; the key never runs again",
                "find out whether the work was done, and only then use a new key");
    }

    static Fault ownerUnreachable(NodeRun run) {
        return Fault.unknownOutcome(
                        FaultKind.OWNER_UNREACHABLE,
                        "the node run " + run + ", which alone may run the key, cannot be reached at present",
                        SAME_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault logUnavailable() {
        return Fault.notRun(
                        FaultKind.LOG_UNAVAILABLE,
                        "the log service cannot be reached, and a key without a run token needs it; no node has"
                                + " executed the request or will",
                        NEW_KEY)
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault logUndecided() {
        return Fault.unknownOutcome(
                        FaultKind.LOG_UNAVAILABLE,
                        "the log service cannot be reached, and a key without a run token needs it; this request was"
                                + " not dispatched, but another one with the same key may have been",
                        SAME_KEY + "; keys that begin with a run token do not need the log service")
                .withRetryAfterMillis(RETRY_AFTER_MILLIS);
    }

    static Fault voidedKey() {
        return Fault.unknownOutcome(
                FaultKind.LOG_UNAVAILABLE,
                "the key was voided while the log service could not be reached",
                "find out whether the work was done, and only then use a new key");
    }

    static Fault requestTooLarge(NodeRun run, int maxBytes) {
        return Fault.unknownOutcome(
                FaultKind.TOO_LARGE,
                "a body of more than " + maxBytes + " bytes cannot be relayed to the node run " + run,
                "send the request to the address whose run token the key begins with");
    }

    static Fault responseTooLarge(NodeRun run) {
        return new Fault(
                FaultKind.TOO_LARGE,
                ExecutionStatus.YES,
                "the request was executed, but its response is too large to be relayed by another node",
                "repeat the request with the same key at the address of node " + run.node(),
                OptionalLong.of(0));
    }

    /**
     * Replaces the remedy of a fault by the advice to use a new key. The result of a key is final, because a duplicate
     * that arrives later must not be executed either.
     */
    static Fault withNewKeyRemedy(Fault fault) {
        return new Fault(fault.kind(), fault.ran(), fault.message(), NEW_KEY, fault.retryAfterMillis());
    }

    static Fault dispatchFailed(Throwable cause) {
        return Fault.unknownOutcome(
                FaultKind.BACKEND_FAILED,
                "the dispatch failed: " + cause,
                "find out whether the work was done, and only then use a new key");
    }
}
