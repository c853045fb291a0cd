package org.magnoliavane.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;

/**
 * Holds what a run measured.
 *
 * @param deployment the deployment
 * @param outcomes the outcome of each request
 * @param prefillBusyMicros the time that prefill workers worked
 * @param prefillUtilization the share of the run in which prefill workers worked
 * @param decodeMemoryUtilization the mean share of decode memory in use during the run
 * @param wastedPrefillMicros the part of it whose result was discarded before its first use
 * @param memoryRefusals the transfers refused by a full decode engine
 * @param expiredPrefills the prefill results that lapsed
 * @param endedAttempts the running answers that the scheduler ended
 * @param unreleasedPieces the decode memory still held at the end, which must be 0
 * @param decisionNanos the real time of each decision; not deterministic
 */
record RunResult(
        Deployment deployment,
        List<Outcome> outcomes,
        long prefillBusyMicros,
        double prefillUtilization,
        double decodeMemoryUtilization,
        long wastedPrefillMicros,
        int memoryRefusals,
        int expiredPrefills,
        int endedAttempts,
        int unreleasedPieces,
        Histogram decisionNanos) {

    long countGood() {
        return count(Outcome::isGood);
    }

    long countGood(String priceClass) {
        return count(each -> each.isGood() && isOfClass(each, priceClass));
    }

    long countOffered(String priceClass) {
        return count(each -> isOfClass(each, priceClass));
    }

    long countRefused(String priceClass) {
        return count(each -> each.isRefused() && isOfClass(each, priceClass));
    }

    /** Gets the time from arrival to refusal at a percentile, in milliseconds. */
    double getRefusalMillis(String priceClass, double percentile) {
        return getPercentileMillis(each -> each.isRefused() && isOfClass(each, priceClass), percentile, true);
    }

    /** Gets the time from arrival to the start of the prefill at a percentile, in milliseconds. */
    double getPrefillWaitMillis(String priceClass, double percentile) {
        return getPercentileMillis(
                each -> each.prefillWaitMicros >= 0 && isOfClass(each, priceClass), percentile, false);
    }

    long countExceededMaxWait() {
        return count(Outcome::hasExceededMaxWait);
    }

    double getWastedShare() {
        return prefillBusyMicros == 0 ? 0 : (double) wastedPrefillMicros / prefillBusyMicros;
    }

    /** Gets the price of all good answers, in currency units. */
    double getPrice() {
        return outcomes.stream()
                        .filter(Outcome::isGood)
                        .mapToLong(each -> each.job.getPriceMicros())
                        .sum()
                / 1e6;
    }

    /**
     * Computes Jain's index over the partners' good work, each divided by its max-min fair share of the good work of
     * all; 1 is fair.
     */
    double computeFairness() {
        Map<String, Double> wanted = new LinkedHashMap<>();
        Map<String, Double> got = new LinkedHashMap<>();
        for (Outcome each : outcomes) {
            double work = EngineTimes.getPrefillMicros(deployment.settings(), each.job.promptTokens());
            wanted.merge(each.job.partner(), work, Double::sum);
            got.merge(each.job.partner(), each.isGood() ? work : 0, Double::sum);
        }
        Map<String, Double> fair = computeFairShares(
                wanted, got.values().stream().mapToDouble(w -> w).sum());
        double sum = 0;
        double squares = 0;
        for (Map.Entry<String, Double> each : got.entrySet()) {
            double ratio = each.getValue() / Math.max(1, fair.get(each.getKey()));
            sum += ratio;
            squares += ratio * ratio;
        }
        return squares == 0 ? 1 : sum * sum / (got.size() * squares);
    }

    private static Map<String, Double> computeFairShares(Map<String, Double> wanted, double total) {
        Map<String, Double> shares = new LinkedHashMap<>();
        double left = total;
        int open = wanted.size();
        List<Map.Entry<String, Double>> sorted =
                wanted.entrySet().stream().sorted(Map.Entry.comparingByValue()).toList();
        for (Map.Entry<String, Double> each : sorted) {
            double share = Math.min(each.getValue(), left / open);
            shares.put(each.getKey(), share);
            left -= share;
            open--;
        }
        return shares;
    }

    private long count(Predicate<Outcome> which) {
        return outcomes.stream().filter(which).count();
    }

    private double getPercentileMillis(Predicate<Outcome> which, double percentile, boolean refusal) {
        long[] values = outcomes.stream()
                .filter(which)
                .mapToLong(each -> refusal ? each.refusalMicros : each.prefillWaitMicros)
                .sorted()
                .toArray();
        if (values.length == 0) {
            return 0;
        }
        int index = (int) Math.ceil(percentile / 100 * values.length) - 1;
        return values[Math.max(0, index)] / 1000.0;
    }

    private static boolean isOfClass(Outcome outcome, String priceClass) {
        return outcome.job.priceClass().name().equals(priceClass);
    }
}
