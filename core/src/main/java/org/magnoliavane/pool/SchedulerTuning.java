package org.magnoliavane.pool;

/**
 * Holds the tuning values of {@link SlackScheduler} that are not settings of the service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param prefillOverheadMicros the fixed time of a prefill
 * @param stepBaseMicros the time of a decode step without streams
 * @param stepPerStreamMicros the time that each running stream adds to a decode step
 * @param leadMicros how long before a prefill worker is free its next prefill is sent
 * @param marginMicros the time kept free before the first token is due
 * @param outputMargin the factor on the expected output for which memory is reserved
 * @param priceExponent the weight of the price: 0 treats all classes alike, 1 values a request in proportion to price
 * @param fairnessExponent the weight of the partners' shares in the choice of the request that is refused
 * @param priceLimit the cost over value above which an offer is refused at once
 * @param pressureShare the share of a request's slack that the backlog must take before the price limit holds
 * @param capacityFactor the share of the time of the workers that can be used, for the prices of capacity
 * @param priceWindowMicros the time over which the offers set the prices of capacity
 * @param hintLifetimeMicros the age at which a cache hint is dropped
 * @param avoidMicros the time for which a worker that failed gets no new work, unless it reports load before
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
     * Creates the default values for engines whose usual batch is 20 streams.
     *
     * @param decodeStepMillis the time of a decode step at the usual batch size
     * @return the values
     */
    public static SchedulerTuning forDecodeStep(double decodeStepMillis) {
        long step = (long) (decodeStepMillis * 1000);
        return new SchedulerTuning(
                10_000,
                step * 2 / 3,
                step / 60,
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
