package org.magnoliavane.node.placement;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Describes an attempt in the load report of an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt the id of the attempt
 * @param owner the node run that owns it, as {@code <node>.<run>}; null during prefill
 * @param phase the phase of the attempt in the engine
 * @param pieces the number of pieces of KV cache memory that it holds
 * @param position the number of tokens generated
 * @param attached true while a node reads the stream
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record ReportedAttempt(String attempt, String owner, String phase, int pieces, int position, boolean attached) {}
