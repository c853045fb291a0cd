package org.magnoliavane.budget;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.magnoliavane.budget.ByteBudget.Allocation;

/**
 * Collects bytes in segments that are allocated from a budget, so that growing copies nothing.
 *
 * <p>Not thread-safe.
 */
public final class BudgetedBuffer {
    private static final int MIN_SEGMENT_BYTES = 1024;
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;

    private final List<byte[]> segments = new ArrayList<>();
    private int lastLength;
    private int size;

    private BudgetedBuffer() {}

    /**
     * Creates an empty buffer.
     *
     * @return the buffer
     */
    public static BudgetedBuffer create() {
        return new BudgetedBuffer();
    }

    /**
     * Appends bytes.
     *
     * @param bytes the bytes
     * @param offset the position of the first one
     * @param length the number of bytes
     * @param allocation allocates the segments
     * @return false if there is no room, and nothing was appended
     */
    public boolean append(byte[] bytes, int offset, int length, Allocation allocation) {
        int first = Math.min(length, getLastCapacity() - lastLength);
        if (first == length) {
            copy(bytes, offset, first);
            return true;
        }
        int capacity = Math.max(MIN_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, 2 * getLastCapacity()));
        int nextBytes = Math.max(length - first, capacity);
        if (!allocation.tryGrow(nextBytes)) {
            return false;
        }
        copy(bytes, offset, first);
        segments.add(new byte[nextBytes]);
        lastLength = 0;
        copy(bytes, offset + first, length - first);
        return true;
    }

    private void copy(byte[] bytes, int offset, int length) {
        if (length > 0) {
            System.arraycopy(bytes, offset, segments.get(segments.size() - 1), lastLength, length);
            lastLength += length;
            size += length;
        }
    }

    /**
     * Gets the number of bytes.
     *
     * @return the number of bytes
     */
    public int size() {
        return size;
    }

    /**
     * Joins the segments, which are discarded.
     *
     * @param allocation allocates the joined bytes
     * @return the bytes; empty if there is no room
     */
    public Optional<byte[]> join(Allocation allocation) {
        if (!allocation.tryGrow(size)) {
            return Optional.empty();
        }
        byte[] joined = new byte[size];
        int done = 0;
        long freed = 0;
        for (byte[] segment : segments) {
            int part = Math.min(segment.length, size - done);
            System.arraycopy(segment, 0, joined, done, part);
            done += part;
            freed += segment.length;
        }
        segments.clear();
        lastLength = 0;
        size = 0;
        allocation.shrink(freed);
        return Optional.of(joined);
    }

    /**
     * Passes the bytes on in order, and discards them. Their allocation remains.
     *
     * @param receiver receives each part
     */
    public void drainTo(Consumer<byte[]> receiver) {
        for (byte[] segment : segments) {
            int length = Math.min(segment.length, size);
            receiver.accept(length == segment.length ? segment : Arrays.copyOf(segment, length));
            size -= length;
        }
        segments.clear();
        lastLength = 0;
    }

    private int getLastCapacity() {
        return segments.isEmpty() ? 0 : segments.get(segments.size() - 1).length;
    }
}
