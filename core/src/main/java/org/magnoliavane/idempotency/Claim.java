package org.magnoliavane.idempotency;

import org.magnoliavane.NodeRun;

/**
 * Identifies the node run that was the first to claim a key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param run the run
 * @param offset the offset of the record of the claim in the stream {@code claims}
 */
public record Claim(NodeRun run, long offset) {}
