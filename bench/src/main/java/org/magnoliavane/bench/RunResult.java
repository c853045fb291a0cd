package org.magnoliavane.bench;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;

/**
 * Holds the measurements of one run.
 *
 * @param deployment the deployment
 * @param outcomes the outcome of each request, in order of arrival
 * @param prefillBusyMicros the total time for which prefill workers were busy, in microseconds
 * @param prefillUtilization the busy time of the prefill workers as a share of the run
 * @param decodeMemoryUtilization the mean share of the decode memory in use during the run
 * @param wastedPrefillMicros the part of the busy time whose results were discarded before their first use,
 *     in microseconds
 * @param memoryRefusals the number of transfers that a decode engine refused because its memory was full
 * @param expiredPrefills the number of prefill results that expired before their transfer started
 * @param endedAttempts the number of running attempts that the scheduler ended
 * @param unreleasedPieces the pieces of decode memory in use after the end of the run; 0 unless memory leaked
 * @param decisionNanos the real time of each decision in nanoseconds; differs between equal runs
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

    /** Gets a percentile of the time from arrival to refusal, in milliseconds; 0 when no request was refused. */
    double getRefusalMillis(String priceClass, double percentile) {
        return getPercentileMillis(each -> each.isRefused() && isOfClass(each, priceClass), percentile, true);
    }

    /** Gets a percentile of the time from arrival to the start of the prefill, in milliseconds; 0 when none started. */
    double getPrefillWaitMillis(String priceClass, double percentile) {
        return getPercentileMillis(
                each -> each.prefillWaitMicros >= 0 && isOfClass(each, priceClass), percentile, false);
    }

    /** Counts the requests that waited longer than the maximum of their price class. */
    long countExceededMaxWait() {
        return count(Outcome::hasExceededMaxWait);
    }

    /** Gets the share of the prefill work whose results were discarded before their first use. */
    double getWastedShare() {
        return prefillBusyMicros == 0 ? 0 : (double) wastedPrefillMicros / prefillBusyMicros;
    }

    /** Gets the total price of all good answers, in currency units. */
    double getPrice() {
        return outcomes.stream()
                        .filter(Outcome::isGood)
                        .mapToLong(each -> each.job.getPriceMicros())
                        .sum()
                / 1e6;
    }

    /**
     * Computes Jain's fairness index over the partners. The value of a partner is the prefill work of its good answers,
     * divided by its max-min fair share of the total of this work; an index of 1 is fair.
     */
    double computeFairness() {
        Map<String, Double> demand = new LinkedHashMap<>();
        Map<String, Double> served = new LinkedHashMap<>();
        for (Outcome each : outcomes) {
            double work = EngineTimes.getPrefillMicros(deployment.settings(), each.job.promptTokens());
            demand.merge(each.job.partner(), work, Double::sum);
            served.merge(each.job.partner(), each.isGood() ? work : 0, Double::sum);
        }
        Map<String, Double> fairShares = computeFairShares(
                demand, served.values().stream().mapToDouble(w -> w).sum());
        double sum = 0;
        double squares = 0;
        for (Map.Entry<String, Double> each : served.entrySet()) {
            double ratio = each.getValue() / Math.max(1, fairShares.get(each.getKey()));
            sum += ratio;
            squares += ratio * ratio;
        }
        return squares == 0 ? 1 : sum * sum / (served.size() * squares);
    }

    /** Computes the max-min fair share of each partner by progressive filling. */
    private static Map<String, Double> computeFairShares(Map<String, Double> demand, double total) {
        Map<String, Double> shares = new LinkedHashMap<>();
        double remaining = total;
        int remainingPartners = demand.size();
        List<Map.Entry<String, Double>> sorted =
                demand.entrySet().stream().sorted(Map.Entry.comparingByValue()).toList();
        for (Map.Entry<String, Double> each : sorted) {
            double share = Math.min(each.getValue(), remaining / remainingPartners);
            shares.put(each.getKey(), share);
            remaining -= share;
            remainingPartners--;
        }
        return shares;
    }

    private long count(Predicate<Outcome> filter) {
        return outcomes.stream().filter(filter).count();
    }

    private double getPercentileMillis(Predicate<Outcome> filter, double percentile, boolean refusal) {
        long[] values = outcomes.stream()
                .filter(filter)
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
