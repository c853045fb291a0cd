package org.magnoliavane.http;

import java.util.concurrent.CompletionException;

/**
 * Reads the failures of completion stages.
 */
public final class Failures {
    private Failures() {}

    /**
     * Gets the failure that a stage may have wrapped when it passed it on.
     *
     * @param failure the failure, null when there is none
     * @return the cause of a {@link CompletionException}, else the failure itself
     */
    public static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
    }
}
