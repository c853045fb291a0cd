/**
 * Emulator of the model engine: prefill, transfer of KV caches, decoding by continuous batching, memory in pieces, and
 * faults. The time model uses neither threads nor sockets; a single thread advances it.
 */
package org.magnoliavane.emulator.engine;
