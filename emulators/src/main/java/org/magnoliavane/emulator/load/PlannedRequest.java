package org.magnoliavane.emulator.load;

/**
 * One request of a load run.
 *
 * @param number the number, from 0
 * @param arrivalMicros the time of arrival after the start of the run
 * @param booking whether it is a booking and not a chat
 * @param path the path of a booking
 * @param className the class; empty text when none is sent
 * @param prompt the prompt of a chat
 * @param check the check that each token of the answer must carry
 * @param outputTokens the length of the answer
 * @param cancelPosition the position after which the caller leaves; 0 when it stays
 */
record PlannedRequest(
        int number,
        long arrivalMicros,
        boolean booking,
        String path,
        String className,
        PromptText prompt,
        String check,
        int outputTokens,
        int cancelPosition) {}
