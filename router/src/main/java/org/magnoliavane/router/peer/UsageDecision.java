package org.magnoliavane.router.peer;

import java.util.Locale;

/**
 * The decision whether a request may use units of its organisation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param admitted whether the request may run
 * @param id identifies the decision among those of this run of the node
 * @param organisation the name of the organisation
 * @param units the units of the request
 * @param retryAfterMillis the time until there is room, in milliseconds; 0 if the request is admitted
 * @param source where the decision was made
 * @param owner the name of the node that owns the organisation
 * @param waitedMillis the time that the decision took, in milliseconds
 */
public record UsageDecision(
        boolean admitted,
        long id,
        String organisation,
        long units,
        long retryAfterMillis,
        Source source,
        String owner,
        long waitedMillis) {

    /** Where a decision was made. */
    public enum Source {
        /** By the owner of the organisation. */
        OWNER,
        /** At this node, from units that the owner granted ahead. */
        AHEAD,
        /** At this node, by its equal share of the cap, because the owner did not reply. */
        LOCAL
    }

    /** Formats the inputs of the decision for the log. */
    @Override
    public String toString() {
        return "admitted=" + admitted + " units=" + units + " source="
                + source.name().toLowerCase(Locale.ROOT) + " owner=" + owner + " waited_millis=" + waitedMillis
                + " retry_after_millis=" + retryAfterMillis;
    }
}
