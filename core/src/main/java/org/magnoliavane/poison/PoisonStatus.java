package org.magnoliavane.poison;

/**
 * What is known of a request's content.
 */
public enum PoisonStatus {
    /** Nothing speaks against the content. */
    CLEARED,
    /** The content was in work on a worker that crashed; it must share no worker. */
    SUSPECTED,
    /** The content crashed a worker that it had to itself; it is refused for good. */
    CONVICTED
}
