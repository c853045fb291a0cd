package org.magnoliavane.node.membership;

/**
 * Enumerates the states of a run of a node, as far as other nodes can determine them.
 */
public enum NodeRunState {
    /** The run responds. */
    LIVE,
    /** The run has ended and cannot become live again. */
    GONE,
    /** The run does not respond at present, but may still be live. */
    UNREACHABLE
}
