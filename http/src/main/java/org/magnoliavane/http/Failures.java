package org.magnoliavane.http;

import java.util.concurrent.CompletionException;

/**
 * Unwraps exceptions of completion stages.
 */
public final class Failures {
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
}
