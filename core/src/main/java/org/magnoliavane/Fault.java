package org.magnoliavane;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Describes why a request failed, whether it ran, and what the caller can do.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the error
 * @param ran whether the work ran
 * @param message what happened, with field, value and bounds where they apply
 * @param remedy what the caller or operator can do
 * @param retryAfterMillis the time after which the caller may come back; empty when a repeat is useless
 */
public record Fault(FaultKind kind, ExecutionStatus ran, String message, String remedy, OptionalLong retryAfterMillis) {

    /**
     * Checks that no part is missing.
     *
     * @param kind the kind of the error
     * @param ran whether the work ran
     * @param message what happened
     * @param remedy what the caller or operator can do
     * @param retryAfterMillis the time after which the caller may come back
     */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(ran, "ran");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(remedy, "remedy");
        Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
    }

    /**
     * Creates the fault of a request that did not run and is useless to repeat unchanged.
     *
     * @param kind the kind of the error
     * @param message what happened
     * @param remedy what the caller or operator can do
     * @return the fault
     */
    public static Fault notRun(FaultKind kind, String message, String remedy) {
        return new Fault(kind, ExecutionStatus.NO, message, remedy, OptionalLong.empty());
    }

    /**
     * Creates the fault of a request that may or may not have run.
     *
     * @param kind the kind of the error
     * @param message what happened
     * @param remedy what the caller or operator can do
     * @return the fault
     */
    public static Fault unknownOutcome(FaultKind kind, String message, String remedy) {
        return new Fault(kind, ExecutionStatus.UNKNOWN, message, remedy, OptionalLong.empty());
    }

    /**
     * Returns a copy that tells the caller when to come back.
     *
     * @param millis the time to wait, in milliseconds, at least 0
     * @return the copy
     */
    public Fault withRetryAfterMillis(long millis) {
        return new Fault(kind, ran, message, remedy, OptionalLong.of(millis));
    }
}
