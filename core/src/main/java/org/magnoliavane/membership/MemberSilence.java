package org.magnoliavane.membership;

import java.util.Collection;

/**
 * Decides what the silence of other members of a deployment means: a member that is late, one that is gone for good, or a fault at
 * the member that decides.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reportMillis the time without a report after which a member is silent, in milliseconds
 * @param firstReportMillis the same for a member that has never reported, from the time at which it was listed
 * @param lostMillis the time without a report after which a member counts as lost, in milliseconds; longer than a machine may be
 *     frozen
 */
public record MemberSilence(long reportMillis, long firstReportMillis, long lostMillis) {
    /** The state of another member. */
    public enum State {
        /** The member has reported lately, or has been listed lately. */
        LIVE,
        /** The member is late with its reports. */
        SILENT,
        /** The member has been silent for so long that it is taken to be gone. */
        LOST
    }

    /**
     * Finds the state of a member.
     *
     * @param hasReported whether the member has reported since it was listed
     * @param silentMillis the time since its latest report, or since it was listed, in milliseconds
     * @return the state
     */
    public State getState(boolean hasReported, long silentMillis) {
        if (silentMillis > lostMillis) {
            return State.LOST;
        }
        return silentMillis > (hasReported ? reportMillis : firstReportMillis) ? State.SILENT : State.LIVE;
    }

    /**
     * Returns whether callers are sent only to the members that are live. If most of the members that are not lost fall silent
     * at a time, the fault is more likely at the member that decides. Lost ones are no evidence: they would count for ever.
     *
     * @param states the states of the other members
     * @return true if silence counts against a member
     */
    public static boolean isTrusted(Collection<State> states) {
        long silent = count(states, State.SILENT);
        return 2 * silent <= states.size() - count(states, State.LOST);
    }

    /**
     * Returns whether callers may be sent to members that are lost. They are the last choice: when all others are lost, and the
     * member that decides cannot be used either or is cut off itself.
     *
     * @param states the states of the other members
     * @param selfUsable whether the member that decides serves callers and is not cut off
     * @return true if nothing else is left
     */
    public static boolean mayUseLost(Collection<State> states, boolean selfUsable) {
        return !selfUsable && count(states, State.LOST) == states.size();
    }

    private static long count(Collection<State> states, State state) {
        return states.stream().filter(s -> s == state).count();
    }
}
