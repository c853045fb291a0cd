/**
 * Leases with fencing numbers, kept in the log service stream {@code leases}.
 */
package org.magnoliavane.lease;
