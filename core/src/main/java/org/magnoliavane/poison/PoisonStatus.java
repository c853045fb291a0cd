package org.magnoliavane.poison;

/**
 * Poison status of a request content.
 */
public enum PoisonStatus {
    /** The content is not suspected of crashing workers. */
    CLEARED,
    /** The content was active on a worker that crashed; its requests must run isolated. */
    SUSPECTED,
    /** The content crashed a worker while it ran isolated; its requests are refused permanently. */
    CONVICTED
}
