package org.magnoliavane.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Unwraps exceptions of completion stages, and records failures that end one task but not its owner.
 */
public final class Failures {
    private static final Logger LOG = System.getLogger(Failures.class.getName());
    private static final AtomicLong SURVIVED = new AtomicLong();

    private Failures() {}

    /**
     * Gets the original exception of a stage, which dependent stages wrap in a {@link CompletionException}.
     *
     * @param failure the exception of a stage, or null if the stage completed normally
     * @return the cause if the exception is a {@link CompletionException} that has one, otherwise the exception itself
     */
    public static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }

    /**
     * Counts and logs an exception or error that the code goes on after. Never throws: an error of the virtual machine may
     * also occur in the logger.
     *
     * @param place what failed, as a value for the log
     * @param failure the exception or error
     */
    public static void recordSurvived(String place, Throwable failure) {
        SURVIVED.incrementAndGet();
        try {
            if (failure instanceof VirtualMachineError) {
                // A stack trace needs memory and may be very long.
                LOG.log(Level.ERROR, "event=survived place={0} error={1}", place, failure.getClass());
            } else {
                LOG.log(Level.ERROR, "event=survived place=" + place, failure);
            }
        } catch (Throwable e) {
            SURVIVED.incrementAndGet();
        }
    }

    /**
     * Counts the failures of this process that were recorded by {@link #recordSurvived}, and those of the logger meanwhile.
     *
     * @return the number of failures
     */
    public static long countSurvived() {
        return SURVIVED.get();
    }
}
