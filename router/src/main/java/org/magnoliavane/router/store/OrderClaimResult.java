package org.magnoliavane.router.store;

/**
 * The result of a conditional append to the log of the order lease.
 *
 * @param accepted true if the record was appended
 * @param logEnd the end of the log, after the record if it was appended
 * @param era the epoch of the store that answered
 */
public record OrderClaimResult(boolean accepted, long logEnd, long era) {}
