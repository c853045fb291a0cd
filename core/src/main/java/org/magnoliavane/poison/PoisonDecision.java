package org.magnoliavane.poison;

/**
 * Decides whether a request may be sent to a worker, and states the evidence.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind what to do with the request
 * @param feature the convicted feature that decided; 0 for an admitted request
 * @param crashes the number of crashes at which the feature was present; 0 for an admitted request
 * @param ageMillis the time since this node learned of the last of them, in milliseconds
 */
public record PoisonDecision(Kind kind, long feature, int crashes, long ageMillis) {

    /** What to do with a request. */
    public enum Kind {
        /** The request is not suspected. */
        ADMIT,
        /** The request is sent to find out whether its feature crashes workers. */
        TRIAL,
        /** Another request is under trial for the same feature; its result will be known soon. */
        WAIT,
        /** The request has a feature that crashes workers. */
        REFUSE
    }

    /** The decision on a request without convicted features. */
    static final PoisonDecision ADMITTED = new PoisonDecision(Kind.ADMIT, 0, 0, 0);

    /**
     * Returns whether the request may be sent.
     *
     * @return true for an admitted request and for a trial
     */
    public boolean maySend() {
        return kind == Kind.ADMIT || kind == Kind.TRIAL;
    }
}
