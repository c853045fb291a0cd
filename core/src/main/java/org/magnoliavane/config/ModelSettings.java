package org.magnoliavane.config;

import java.util.List;

/**
 * Settings of a model service. The figures describe the engines, so that the scheduler can estimate durations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the model names that callers may ask for
 * @param pieceTokens the number of tokens in one piece of engine memory
 * @param decodePieces the number of pieces of a decode worker
 * @param prefillTokensPerSecond the prefill rate of one worker
 * @param decodeStepMillis the time of one decode step at the usual batch size
 * @param transferTokensPerSecond the rate of the link between a prefill and a decode worker
 * @param prefillLifetimeMillis the time for which an engine keeps a prefill result
 * @param expectedOutputTokens the output length that is assumed when the caller names none
 * @param maxOutputTokens the largest output length
 * @param wastedPrefillWeight the weight of wasted prefill against lost goodput, from 0 to 1
 */
public record ModelSettings(
        List<String> models,
        int pieceTokens,
        int decodePieces,
        int prefillTokensPerSecond,
        double decodeStepMillis,
        int transferTokensPerSecond,
        long prefillLifetimeMillis,
        int expectedOutputTokens,
        int maxOutputTokens,
        double wastedPrefillWeight) {}
