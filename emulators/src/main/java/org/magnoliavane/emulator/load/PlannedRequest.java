package org.magnoliavane.emulator.load;

/**
 * Describes a request of a load run.
 *
 * @param number the sequence number, from 0
 * @param arrivalMicros the time of arrival after the start of the run, in microseconds
 * @param booking whether it is a booking and not a chat
 * @param path the path of a booking
 * @param className the service class; the empty string when none is sent
 * @param prompt the prompt of a chat
 * @param check the check that each token of the answer must contain
 * @param outputTokens the length of the answer in tokens
 * @param cancelPosition the token position at which the caller disconnects; 0 when it does not
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
