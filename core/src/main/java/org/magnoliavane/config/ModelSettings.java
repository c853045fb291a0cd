package org.magnoliavane.config;

import java.util.List;

/**
 * Holds the settings of a model service. They describe the engines, so that the scheduler can estimate durations.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models the names of the models that callers may request
 * @param pieceTokens the number of tokens in one piece, the unit of allocation of KV cache memory
 * @param decodePieces the number of pieces of a decode worker
 * @param prefillTokensPerSecond the prefill rate of one worker in tokens per second
 * @param decodeStepMillis the time of one decode step at the usual batch size, in milliseconds
 * @param transferTokensPerSecond the rate of the link between a prefill and a decode worker in tokens per second
 * @param prefillLifetimeMillis the time for which an engine retains a prefill result, in milliseconds
 * @param expectedOutputTokens the output length that is assumed when the caller specifies none, in tokens
 * @param maxOutputTokens the maximum output length in tokens
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
