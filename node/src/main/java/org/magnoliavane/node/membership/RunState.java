package org.magnoliavane.node.membership;

/**
 * States of a node run, as far as a node can know.
 */
public enum RunState {
    /** The run answers. */
    LIVE,
    /** The run has ended for good. */
    GONE,
    /** The run does not answer at present and may still be live. */
    UNREACHABLE
}
