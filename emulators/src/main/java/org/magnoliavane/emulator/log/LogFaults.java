package org.magnoliavane.emulator.log;

/**
 * Body of {@code POST /control}; an absent value leaves the setting unchanged.
 *
 * @param outage whether appends and reads fail with status 503
 * @param slowMillis the delay of each response to an append or a read, in milliseconds
 * @param loseAnswers whether the connections of appends are closed without a response after the append took effect
 * @param loseNext the number of subsequent appends whose responses are lost in this way
 * @param retainMillis the time for which records are kept, in milliseconds
 * @param appendsPerSecond the maximum number of appends per second, over all streams
 * @param silent whether the connections that are open now become unresponsive
 */
record LogFaults(
        Boolean outage,
        Long slowMillis,
        Boolean loseAnswers,
        Integer loseNext,
        Long retainMillis,
        Integer appendsPerSecond,
        Boolean silent) {}
