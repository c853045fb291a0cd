package org.magnoliavane.emulator.load;

import java.util.List;

/**
 * Reports how a chat ended, from the view of its caller.
 *
 * @param request the request
 * @param outcome the outcome
 * @param errorType the kind of the error; the empty string when there is none
 * @param retryAfter whether an error contained the time after which the caller may retry
 * @param ttftMillis the time from the arrival to the first token, in milliseconds; negative when there is none
 * @param gapMillis the times between tokens, in milliseconds
 * @param resumes the number of times that the caller reconnected
 */
record ChatReport(
        PlannedRequest request,
        ChatOutcome outcome,
        String errorType,
        boolean retryAfter,
        double ttftMillis,
        List<Double> gapMillis,
        int resumes) {

    boolean meetsTargets(double ttftTargetMillis, double tbtTargetMillis) {
        double meanGapMillis =
                gapMillis.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        return outcome == ChatOutcome.COMPLETE && ttftMillis <= ttftTargetMillis && meanGapMillis <= tbtTargetMillis;
    }
}
