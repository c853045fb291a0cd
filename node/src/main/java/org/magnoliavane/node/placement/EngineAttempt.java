package org.magnoliavane.node.placement;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;

/**
 * Holds an attempt as an engine reports it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt the id of the attempt
 * @param owner the run that drives it, as {@code <node>.<run>}; absent while it is in prefill
 * @param phase the phase in the engine
 * @param pieces the pieces that it holds
 * @param position the number of tokens generated
 * @param attached true while a node reads the stream
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record EngineAttempt(String attempt, String owner, String phase, int pieces, int position, boolean attached) {}
