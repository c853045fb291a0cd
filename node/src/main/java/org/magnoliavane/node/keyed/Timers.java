package org.magnoliavane.node.keyed;

/**
 * Provides the time and runs delayed tasks.
 *
 * <p>Implementations are thread-safe.
 */
interface Timers {

    /**
     * Gets the time. It never decreases and ignores corrections of the wall clock.
     *
     * @return the time in milliseconds; equals the Unix time when the process started
     */
    long nowMillis();

    /**
     * Runs a task after a delay.
     *
     * @param millis the delay in milliseconds; 0 runs the task as soon as possible
     * @param task the task; must not block
     * @return an action that cancels the task
     */
    Runnable runAfter(long millis, Runnable task);
}
