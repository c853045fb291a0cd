package org.magnoliavane.emulator.log;

/**
 * Holds one record of a stream.
 *
 * @param offset the position in the stream, from 0
 * @param timestampMillis the time of the append in milliseconds since 1970
 * @param data the bytes
 */
record StoredRecord(long offset, long timestampMillis, byte[] data) {}
