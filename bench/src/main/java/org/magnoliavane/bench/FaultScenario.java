package org.magnoliavane.bench;

/**
 * Selects the faults that are injected into a run. A fault begins after a third of the run and lasts for a sixth of it.
 * {@link #LINK_STALLED}, however, stalls a link three times during this period, for 3 s each.
 */
enum FaultScenario {
    NONE,
    PREFILL_LOST,
    DECODE_LOST,
    COORDINATOR_LOST,
    REPORTS_LATE,
    LINK_STALLED,
    ALL;

    /** Returns whether this scenario injects a fault. */
    boolean includes(FaultScenario fault) {
        return this == fault || this == ALL;
    }
}
