package org.magnoliavane.node.dispatch;

import java.util.OptionalLong;

import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;

/** Creates the faults with which the run of a model request can end. */
final class RunFaults {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private RunFaults() {}

    static Fault deadlinePassed(ExecutionStatus status, long deadlineMillis) {
        return new Fault(
                FaultKind.DEADLINE_EXCEEDED,
                status,
                "no complete answer within the deadline of " + deadlineMillis + " ms",
                "send the request with a later deadline, or when the load is lower",
                OptionalLong.empty());
    }

    static Fault coordinatorUnresponsive(ExecutionStatus status, String service) {
        return withRetry(
                FaultKind.UNAVAILABLE,
                status,
                "the coordinator of pool " + service + " did not answer in time",
                "repeat the request later");
    }

    static Fault placementFailed(ExecutionStatus status, Throwable cause) {
        return withRetry(
                FaultKind.INTERNAL,
                status,
                "the placement failed: " + cause.getMessage(),
                "repeat the request; operators: see the log of the node");
    }

    static Fault workersFailed(ExecutionStatus status, String description) {
        return withRetry(FaultKind.BACKEND_FAILED, status, description, "send the request again");
    }

    static Fault preempted(ExecutionStatus status, String message) {
        return withRetry(
                FaultKind.OVERLOADED, status, message, "send the request again later, or with a smaller max_tokens");
    }

    static Fault diverged(String description) {
        return Fault.unknownOutcome(
                        FaultKind.BACKEND_FAILED,
                        "a decode worker failed and its answer could not be continued: " + description,
                        "discard the partial answer and send the request again")
                .withRetryAfterMillis(0);
    }

    static Fault superseded() {
        return Fault.unknownOutcome(
                FaultKind.IN_PROGRESS,
                "superseded: the caller has resumed this answer on another connection",
                "read the answer on the newer connection");
    }

    static Fault callerGone() {
        return Fault.unknownOutcome(
                        FaultKind.UNAVAILABLE,
                        "the request was cancelled because its connection was closed",
                        "send the request again")
                .withRetryAfterMillis(0);
    }

    /** Returns a copy of a refusal for a request of which an earlier attempt may have run. */
    static Fault withUnknownStatus(Fault refusal) {
        return new Fault(
                refusal.kind(),
                ExecutionStatus.UNKNOWN,
                refusal.message(),
                refusal.remedy(),
                refusal.retryAfterMillis());
    }

    private static Fault withRetry(FaultKind kind, ExecutionStatus status, String message, String remedy) {
        return new Fault(kind, status, message, remedy, OptionalLong.of(RETRY_AFTER_MILLIS));
    }
}
