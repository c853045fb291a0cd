package org.magnoliavane.node.dispatch;

import java.util.OptionalLong;

import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.magnoliavane.FaultKind;

/** Words the faults with which the run of a model request can end. */
final class RunFaults {
    private static final long RETRY_AFTER_MILLIS = 1000;

    private RunFaults() {}

    static Fault deadlinePassed(ExecutionStatus ran, long deadlineMillis) {
        return new Fault(
                FaultKind.DEADLINE_EXCEEDED,
                ran,
                "no complete answer within the deadline of " + deadlineMillis + " ms",
                "send the request with a later deadline, or at a time of lower load",
                OptionalLong.empty());
    }

    static Fault coordinatorSilent(ExecutionStatus ran, String service) {
        return withRetry(
                FaultKind.UNAVAILABLE,
                ran,
                "the coordinator of pool " + service + " did not answer in time",
                "repeat the request later");
    }

    static Fault placementFailed(ExecutionStatus ran, Throwable cause) {
        return withRetry(
                FaultKind.INTERNAL,
                ran,
                "the placement failed: " + cause.getMessage(),
                "repeat the request; operators: see the log of the node");
    }

    static Fault workersFailed(ExecutionStatus ran, String what) {
        return withRetry(FaultKind.BACKEND_FAILED, ran, what, "send the request again");
    }

    static Fault endedForOthers(ExecutionStatus ran, String message) {
        return withRetry(
                FaultKind.OVERLOADED, ran, message, "send the request again later, or with a smaller max_tokens");
    }

    static Fault diverged(String what) {
        return Fault.unknownOutcome(
                        FaultKind.BACKEND_FAILED,
                        "a decode worker failed and its answer could not be continued: " + what,
                        "discard the partial answer and send the request again")
                .withRetryAfterMillis(0);
    }

    static Fault superseded() {
        return Fault.unknownOutcome(
                FaultKind.IN_PROGRESS,
                "superseded: the caller has taken this answer over on another connection",
                "read the answer on the newer connection");
    }

    static Fault callerGone() {
        return Fault.unknownOutcome(
                        FaultKind.UNAVAILABLE,
                        "the request was cancelled because the connection it came on was closed",
                        "send the request again")
                .withRetryAfterMillis(0);
    }

    /** Returns a copy for a request of which an earlier attempt may have run. */
    static Fault withUnknownRun(Fault refusal) {
        return new Fault(
                refusal.kind(),
                ExecutionStatus.UNKNOWN,
                refusal.message(),
                refusal.remedy(),
                refusal.retryAfterMillis());
    }

    private static Fault withRetry(FaultKind kind, ExecutionStatus ran, String message, String remedy) {
        return new Fault(kind, ran, message, remedy, OptionalLong.of(RETRY_AFTER_MILLIS));
    }
}
