package org.magnoliavane.router.front;

import java.util.concurrent.CompletionStage;

/** Says whether what a node believes of configuration and workers is known to be current. */
public interface StateRefresher {

    /**
     * Gets the check that is due, for example after the process stood still.
     *
     * @return completes at once when nothing is in doubt, else when the store was read or the wait for it is over
     */
    CompletionStage<Void> whenRefreshed();

    /**
     * Reads the configuration from the store.
     *
     * @return completes with true when the configuration is current, with false when the store did not answer in time
     */
    CompletionStage<Boolean> refreshConfiguration();
}
