package org.magnoliavane.config;

/**
 * Holds a record of a stream with its offset.
 *
 * <p>Immutable and thread-safe as long as the data is not modified.
 *
 * @param offset the offset
 * @param data the bytes of the record
 */
public record StreamRecord(long offset, byte[] data) {}
