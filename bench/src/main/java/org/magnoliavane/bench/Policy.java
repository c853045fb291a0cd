package org.magnoliavane.bench;

import org.magnoliavane.pool.PoolScheduler;

/**
 * Names a policy and creates its schedulers.
 *
 * @param name the name used on the command line
 * @param central true for one scheduler at a coordinator, false for one at each node
 * @param factory the factory
 */
record Policy(String name, boolean central, Factory factory) {

    /** Creates one scheduler. */
    interface Factory {
        /**
         * Creates a scheduler.
         *
         * @param deployment the deployment
         * @param seed the seed of the scheduler's own draws
         * @return the scheduler
         */
        PoolScheduler create(Deployment deployment, long seed);
    }
}
