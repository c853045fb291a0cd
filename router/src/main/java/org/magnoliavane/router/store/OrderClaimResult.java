package org.magnoliavane.router.store;

/**
 * The answer to a conditional record in the log of those who give orders.
 *
 * @param accepted true when the record was written
 * @param logEnd the end of the log, after the record if it was written
 */
public record OrderClaimResult(boolean accepted, long logEnd) {}
