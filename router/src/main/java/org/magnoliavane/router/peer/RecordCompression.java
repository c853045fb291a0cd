package org.magnoliavane.router.peer;

import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import com.google.protobuf.ByteString;
import org.magnoliavane.protocol.generated.TopicRecord;
import org.magnoliavane.router.store.KeyedRecord;

/**
 * Converts records of the store to messages and back. Large values are compressed: a configuration repeats the same fields for
 * each route, and without compression it does not fit into a datagram, so that every node would read it from the store.
 */
final class RecordCompression {
    /** Size from which a value is compressed; smaller ones fit uncompressed. */
    private static final int MIN_BYTES = 1000;

    /** Largest size of a value that is inflated, that of a record of the store. A larger size is not allocated. */
    private static final int MAX_BYTES = 262_144;

    private RecordCompression() {}

    static TopicRecord toMessage(KeyedRecord record) {
        TopicRecord.Builder message =
                TopicRecord.newBuilder().setKey(record.key()).setOffset(record.offset());
        byte[] value = record.value();
        if (value.length < MIN_BYTES || value.length > MAX_BYTES) {
            return message.setValue(ByteString.copyFrom(value)).build();
        }
        byte[] buffer = new byte[value.length];
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(value);
            deflater.finish();
            int length = deflater.deflate(buffer);
            return deflater.finished()
                    ? message.setValue(ByteString.copyFrom(buffer, 0, length))
                            .setInflatedBytes(value.length)
                            .build()
                    : message.setValue(ByteString.copyFrom(value)).build();
        } finally {
            deflater.end();
        }
    }

    /**
     * Converts a message to a record.
     *
     * @param message the message
     * @return the record
     * @throws IllegalArgumentException if the value cannot be inflated to the stated size
     */
    static KeyedRecord fromMessage(TopicRecord message) {
        byte[] value = message.getValue().toByteArray();
        return new KeyedRecord(
                message.getKey(),
                message.getInflatedBytes() == 0 ? value : inflate(value, message.getInflatedBytes()),
                message.getOffset());
    }

    private static byte[] inflate(byte[] compressed, int size) {
        if (size < 0 || size > MAX_BYTES) {
            throw new IllegalArgumentException("a record of " + size + " bytes is larger than " + MAX_BYTES);
        }
        byte[] value = new byte[size];
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(compressed);
            if (inflater.inflate(value) != size) {
                throw new IllegalArgumentException("a record is shorter than its stated size of " + size + " bytes");
            }
            return value;
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("a record cannot be inflated", e);
        } finally {
            inflater.end();
        }
    }
}
