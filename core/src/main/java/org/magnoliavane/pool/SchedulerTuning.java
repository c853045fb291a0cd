package org.magnoliavane.pool;

/**
 * Holds the tuning parameters of {@link SlackScheduler} that are not settings of the service.
 *
 * <p>Immutable and thread-safe. Times are in microseconds.
 *
 * @param prefillOverheadMicros the fixed overhead of a prefill
 * @param stepBaseMicros the fixed part of the time of a decode step
 * @param stepPerStreamMicros the time that each running stream adds to a decode step
 * @param leadMicros how long before a prefill worker becomes free its next prefill is sent
 * @param marginMicros the safety margin before the first token is due
 * @param outputMargin the factor by which the expected output is multiplied to reserve memory
 * @param priceExponent the exponent of the price in the value of a request: 0 treats all classes alike, 1 makes the
 *     value proportional to the price
 * @param fairnessExponent the exponent of a partner's share ratio in the choice of the request to refuse
 * @param priceLimit the ratio of cost to value above which a request may be refused on arrival
 * @param pressureShare the share of a request's slack that the backlog must exceed for the price limit to apply
 * @param capacityFactor the capacity that the shadow prices assume, relative to the time of the workers
 * @param priceWindowMicros the length of the window of requests from which the shadow prices are computed
 * @param hintLifetimeMicros the age at which a cache hint expires
 * @param avoidMicros the time for which a failed worker gets no new work, unless it reports its load before
 */
public record SchedulerTuning(
        long prefillOverheadMicros,
        long stepBaseMicros,
        long stepPerStreamMicros,
        long leadMicros,
        long marginMicros,
        double outputMargin,
        double priceExponent,
        double fairnessExponent,
        double priceLimit,
        double pressureShare,
        double capacityFactor,
        long priceWindowMicros,
        long hintLifetimeMicros,
        long avoidMicros) {

    /**
     * Creates the default tuning for engines whose usual batch is 20 streams.
     *
     * @param decodeStepMillis the time of a decode step at the usual batch size, in milliseconds
     * @return the values
     */
    public static SchedulerTuning forDecodeStep(double decodeStepMillis) {
        long stepMicros = (long) (decodeStepMillis * 1000);
        return new SchedulerTuning(
                10_000,
                stepMicros * 2 / 3,
                stepMicros / 60,
                4_000,
                15_000,
                1.0,
                0,
                0.1,
                1,
                0.1,
                1.05,
                180_000_000,
                60_000_000,
                2_000_000);
    }
}
