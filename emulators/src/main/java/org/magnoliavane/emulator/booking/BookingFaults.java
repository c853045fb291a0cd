package org.magnoliavane.emulator.booking;

import com.beust.jcommander.ParameterException;

/**
 * Body of {@code POST /control}; an absent value leaves the setting unchanged.
 *
 * @param delayMillis the additional delay of each response, in milliseconds
 * @param dropAnswers whether the connections of requests are closed without a response after the execution
 * @param dropNext the number of subsequent requests whose responses are dropped in this way
 * @param crashNext {@code before} or {@code after}: when to crash at the next booking or payment, relative to its
 *     execution; {@code none} clears the fault
 * @param crashMarker the text in a request body that crashes the service; the empty string clears the fault
 * @param crashPhase whether the marker crashes the service {@code before} or {@code after} the execution
 * @param crash whether to crash now, after the response to this request
 * @param silent whether the connections that are open now become unresponsive
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
