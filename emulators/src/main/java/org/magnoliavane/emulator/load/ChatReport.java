package org.magnoliavane.emulator.load;

import java.util.List;

/**
 * Tells how a chat ended.
 *
 * @param request the request
 * @param outcome the outcome
 * @param errorType the kind of the error; empty text when there is none
 * @param retryAfter whether an error named the time after which the caller may come back
 * @param ttftMillis the time from the arrival to the first token; negative when there is none
 * @param gapMillis the times between tokens
 * @param resumes the number of times that the caller went to a node again
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
        double mean =
                gapMillis.stream().mapToDouble(Double::doubleValue).average().orElse(0);
        return outcome == ChatOutcome.COMPLETE && ttftMillis <= ttftTargetMillis && mean <= tbtTargetMillis;
    }
}
