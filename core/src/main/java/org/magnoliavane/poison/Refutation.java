package org.magnoliavane.poison;

/**
 * Tells how far an answer got that contradicts the suspicion that a feature of its request crashes workers. The order of the
 * values is that of their weight.
 */
public enum Refutation {
    /** No answer with the feature is known to have got past its beginning. */
    NONE,
    /** An answer with the feature got past its beginning, so the feature does not crash workers there. */
    PROGRESSED,
    /** An answer with the feature was completed after the crash was known, so the feature did not cause the crash. */
    ANSWERED
}
