package org.magnoliavane.budget;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

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
     * @return false if there is no room; some of the bytes may have been appended
     */
    public boolean append(byte[] bytes, int offset, int length, Allocation allocation) {
        int done = 0;
        while (done < length) {
            if (lastLength == getLastCapacity() && !addSegment(length - done, allocation)) {
                return false;
            }
            int part = Math.min(length - done, getLastCapacity() - lastLength);
            System.arraycopy(bytes, offset + done, segments.get(segments.size() - 1), lastLength, part);
            lastLength += part;
            size += part;
            done += part;
        }
        return true;
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

    private int getLastCapacity() {
        return segments.isEmpty() ? 0 : segments.get(segments.size() - 1).length;
    }

    private boolean addSegment(int needed, Allocation allocation) {
        int length = Math.min(MAX_SEGMENT_BYTES, Math.max(needed, Math.max(MIN_SEGMENT_BYTES, 2 * getLastCapacity())));
        if (!allocation.tryGrow(length)) {
            return false;
        }
        segments.add(new byte[length]);
        lastLength = 0;
        return true;
    }
}
