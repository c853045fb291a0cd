package org.magnoliavane.router.front;

import java.util.concurrent.CompletionStage;

/** Refreshes the configuration and the workers that a node knows. */
public interface StateRefresher {

    /**
     * Gets the refresh in progress, such as the one after a pause of the process.
     *
     * @return a stage that completes when the store was read or the wait for it has timed out; already complete when no
     *     refresh is in progress
     */
    CompletionStage<Void> whenRefreshed();

    /**
     * Reads the configuration from the store unless it was confirmed lately.
     *
     * @param maxAgeMillis the age in milliseconds up to which a confirmed configuration is not read again; 0 to read it always
     * @return a stage that completes with true when the configuration is current, or with false when the store did not
     *     answer in time
     */
    CompletionStage<Boolean> refreshConfiguration(long maxAgeMillis);
}
