package org.magnoliavane.node.keyed;

/**
 * Tells the time and runs tasks later.
 *
 * <p>Implementations are thread-safe.
 */
interface Timers {

    /**
     * Gets the time. It never goes back and takes no part in corrections of the wall clock.
     *
     * @return the time in milliseconds; at the start of the process this was the time since 1970
     */
    long nowMillis();

    /**
     * Runs a task later.
     *
     * @param millis the delay; 0 means soon
     * @param task the task; must not block
     * @return cancels the task
     */
    Runnable after(long millis, Runnable task);
}
