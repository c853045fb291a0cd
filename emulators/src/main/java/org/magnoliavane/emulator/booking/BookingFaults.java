package org.magnoliavane.emulator.booking;

import com.beust.jcommander.ParameterException;

/**
 * Body of {@code POST /control}; an absent value leaves the setting as it is.
 *
 * @param delayMillis the additional delay of each answer, in milliseconds
 * @param dropAnswers whether calls run while their connection is closed without an answer
 * @param dropNext the number of next calls whose answer is dropped in this way
 * @param crashNext {@code before} or {@code after}: crashes at the next booking or payment; {@code none} clears it
 * @param crashMarker the text in a body that crashes the service; empty clears it
 * @param crashPhase whether the marker crashes {@code before} or {@code after} the run
 * @param crash whether to crash now
 * @param silent whether the connections that are open now go silent
 */
record BookingFaults(
        Long delayMillis,
        Boolean dropAnswers,
        Integer dropNext,
        String crashNext,
        String crashMarker,
        String crashPhase,
        Boolean crash,
        Boolean silent) {
    static final String BEFORE = "before";
    static final String AFTER = "after";
    static final String NONE = "none";

    BookingFaults {
        if (crashNext != null && !crashNext.equals(NONE)) {
            checkPhase("crash_next", crashNext);
        }
        if (crashPhase != null) {
            checkPhase("crash_phase", crashPhase);
        }
    }

    static void checkPhase(String name, String value) {
        if (!value.equals(BEFORE) && !value.equals(AFTER)) {
            throw new ParameterException(name + " must be before or after, got " + value);
        }
    }
}
