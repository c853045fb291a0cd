/**
 * Leases with fencing tokens, kept in the stream {@code leases} of the log service.
 */
package org.magnoliavane.lease;
