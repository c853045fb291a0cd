package org.magnoliavane.bench;

import org.magnoliavane.pool.PoolScheduler;

/**
 * Describes a scheduling policy: its name, where its schedulers run and how they are created.
 *
 * @param name the name used on the command line
 * @param central true for one scheduler at a central coordinator, false for one scheduler at each node
 * @param factory creates the schedulers
 */
record Policy(String name, boolean central, Factory factory) {

    /** Creates the schedulers of a policy. */
    interface Factory {
        /**
         * Creates a scheduler.
         *
         * @param deployment the deployment
         * @param seed the seed of the scheduler's random numbers
         * @return the scheduler
         */
        PoolScheduler create(Deployment deployment, long seed);
    }
}
