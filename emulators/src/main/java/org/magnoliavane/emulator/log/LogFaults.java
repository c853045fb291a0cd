package org.magnoliavane.emulator.log;

/**
 * Body of {@code POST /control}; an absent value leaves the setting as it is.
 *
 * @param outage whether every call gets 503
 * @param slowMillis the delay of each answer, in milliseconds
 * @param loseAnswers whether appends take effect while their connection is closed without an answer
 * @param loseNext the number of next appends whose answer is lost in this way
 * @param retainMillis the time for which records are kept, in milliseconds
 * @param appendsPerSecond the limit of appends per second
 * @param silent whether the connections that are open now go silent
 */
record LogFaults(
        Boolean outage,
        Long slowMillis,
        Boolean loseAnswers,
        Integer loseNext,
        Long retainMillis,
        Integer appendsPerSecond,
        Boolean silent) {}
