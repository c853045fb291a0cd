package org.magnoliavane;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Describes why a request failed, whether it was executed, and what the caller can do.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind of the error
 * @param ran whether the request was executed
 * @param message what happened, with field, value and bounds where they apply
 * @param remedy what the caller or operator can do
 * @param retryAfterMillis the time in milliseconds after which the caller may retry; empty when a retry is useless
 */
public record Fault(FaultKind kind, ExecutionStatus ran, String message, String remedy, OptionalLong retryAfterMillis) {

    /**
     * Checks that no component is null.
     *
     * @param kind the kind of the error
     * @param ran whether the request was executed
     * @param message what happened
     * @param remedy what the caller or operator can do
     * @param retryAfterMillis the time in milliseconds after which the caller may retry
     */
    public Fault {
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(ran, "ran");
        Objects.requireNonNull(message, "message");
        Objects.requireNonNull(remedy, "remedy");
        Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
    }

    /**
     * Creates the fault of a request that was not executed and that is useless to retry unchanged.
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
     * Creates the fault of a request that may have been executed.
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
     * Creates the fault of a request that the node itself failed to handle.
     *
     * @param mayHaveRun whether the request may have been executed
     * @return the fault
     */
    public static Fault internal(boolean mayHaveRun) {
        return new Fault(
                FaultKind.INTERNAL,
                mayHaveRun ? ExecutionStatus.UNKNOWN : ExecutionStatus.NO,
                "internal error of the node",
                "tell the operators the request id",
                OptionalLong.empty());
    }

    /**
     * Returns a copy with the time after which the caller may retry.
     *
     * @param millis the time in milliseconds, at least 0
     * @return the copy
     */
    public Fault withRetryAfterMillis(long millis) {
        return new Fault(kind, ran, message, remedy, OptionalLong.of(millis));
    }
}
