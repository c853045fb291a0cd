package org.magnoliavane.emulator.log;

/**
 * Holds a record of a stream.
 *
 * <p>The data array is not copied and must not be modified.
 *
 * @param offset the position in the stream, from 0
 * @param timestampMillis the time of the append in milliseconds since 1970
 * @param data the bytes
 */
record StoredRecord(long offset, long timestampMillis, byte[] data) {}
