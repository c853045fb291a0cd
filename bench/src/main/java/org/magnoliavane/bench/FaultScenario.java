package org.magnoliavane.bench;

/**
 * Names the faults of a run. They begin after a third of the run and last for a sixth of it, but for a stalled link,
 * which lasts 3 s and comes three times.
 */
enum FaultScenario {
    NONE,
    PREFILL_LOST,
    DECODE_LOST,
    COORDINATOR_LOST,
    REPORTS_LATE,
    LINK_STALLED,
    ALL;

    boolean includes(FaultScenario fault) {
        return this == fault || this == ALL;
    }
}
