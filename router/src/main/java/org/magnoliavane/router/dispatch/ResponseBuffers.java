package org.magnoliavane.router.dispatch;

import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Allocation;

/**
 * Counts what a streamed request buffers of responses towards the budget of the node: incomplete events, errors, and what the
 * caller has not read.
 *
 * <p>{@link #close} is called on any thread, {@link #tryCount} on the executor of the request.
 */
final class ResponseBuffers {
    /** Bytes of a stream that are not counted: events of usual size must not fail because others fill the budget. */
    static final int UNCOUNTED_BYTES = 4096;

    private final Allocation allocation;
    private long countedBytes;

    /** Whether the response is complete or the caller has left; set before the execution learns of it. */
    private volatile boolean closed;

    ResponseBuffers(ByteBudget budget) {
        this.allocation = budget.open(ByteBudget.Use.RESPONSE);
    }

    /**
     * Allocates what is buffered at present.
     *
     * @return false if there is no room for it
     */
    boolean tryCount(long bufferedBytes) {
        long more = Math.max(0, bufferedBytes - UNCOUNTED_BYTES) - countedBytes;
        if (more > 0 && !allocation.tryGrow(more)) {
            return closed;
        }
        allocation.shrink(-more);
        countedBytes += more;
        return true;
    }

    long getCountedBytes() {
        return countedBytes;
    }

    /** Releases everything when the response is complete or the caller has left. */
    void close() {
        closed = true;
        allocation.close();
    }
}
