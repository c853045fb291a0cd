package org.magnoliavane.budget;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the bytes that a process buffers. Each use has its own share, so that bodies of callers cannot take the memory
 * that responses need, and large bodies and responses cannot take that of small ones.
 *
 * <p>Thread-safe.
 */
public final class ByteBudget {
    /** Share of the heap that may be buffered; the rest is for the state of the process and for garbage. */
    private static final double HEAP_SHARE = 0.5;

    /** What buffered bytes are used for. */
    public enum Use {
        /** Bodies of callers' requests, up to a modest size. */
        CALLER_BODY(0.06),
        /** Larger bodies of callers' requests, and those of unknown length. */
        LARGE_CALLER_BODY(0.39),
        /** Responses of workers, each up to a modest size. */
        RESPONSE(0.15),
        /** What larger responses have beyond that size. */
        LARGE_RESPONSE(0.4);

        private final double share;

        Use(double share) {
            this.share = share;
        }
    }

    private final long capacityBytes;
    private final AtomicLong[] used = new AtomicLong[Use.values().length];
    private final AtomicLong[] refusals = new AtomicLong[Use.values().length];

    private ByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
        for (Use use : Use.values()) {
            used[use.ordinal()] = new AtomicLong();
            refusals[use.ordinal()] = new AtomicLong();
        }
    }

    /**
     * Creates a budget from the largest size of the heap.
     *
     * @return the budget
     */
    public static ByteBudget ofHeap() {
        return of((long) (HEAP_SHARE * Runtime.getRuntime().maxMemory()));
    }

    /**
     * Creates a budget.
     *
     * @param capacityBytes the bytes of all uses together
     * @return the budget
     */
    public static ByteBudget of(long capacityBytes) {
        return new ByteBudget(capacityBytes);
    }

    /**
     * Opens an empty allocation.
     *
     * @param use what the bytes are used for
     * @return the allocation, which must be closed
     */
    public Allocation open(Use use) {
        return new Allocation(use);
    }

    /**
     * Gets the bytes that are allocated.
     *
     * @param use what the bytes are used for
     * @return the number of bytes
     */
    public long getUsedBytes(Use use) {
        return used[use.ordinal()].get();
    }

    /**
     * Gets the bytes that may be allocated.
     *
     * @param use what the bytes are used for
     * @return the number of bytes
     */
    public long getCapacityBytes(Use use) {
        return (long) (capacityBytes * use.share);
    }

    /**
     * Counts the allocations for which there was no room.
     *
     * @param use what the bytes were to be used for
     * @return the number of refused allocations
     */
    public long countRefusals(Use use) {
        return refusals[use.ordinal()].get();
    }

    private boolean tryAcquire(Use use, long bytes) {
        long capacity = getCapacityBytes(use);
        AtomicLong current = used[use.ordinal()];
        long before = current.get();
        while (bytes <= capacity - before) {
            if (current.compareAndSet(before, before + bytes)) {
                return true;
            }
            before = current.get();
        }
        refusals[use.ordinal()].incrementAndGet();
        return false;
    }

    /**
     * The bytes of one buffer.
     *
     * <p>Thread-safe.
     */
    public final class Allocation implements AutoCloseable {
        private final Use use;
        private long bytes;
        private boolean closed;

        private Allocation(Use use) {
            this.use = use;
        }

        /**
         * Allocates more bytes.
         *
         * @param more the number of bytes
         * @return false if there is no room, or if the allocation is closed
         */
        public synchronized boolean tryGrow(long more) {
            if (more < 0) {
                throw new IllegalArgumentException("negative number of bytes: " + more);
            }
            if (closed || !tryAcquire(use, more)) {
                return false;
            }
            bytes += more;
            return true;
        }

        /**
         * Releases some of the bytes.
         *
         * @param fewer the number of bytes, of which at most those that are allocated are released
         */
        public synchronized void shrink(long fewer) {
            long released = Math.max(0, Math.min(fewer, bytes));
            bytes -= released;
            used[use.ordinal()].addAndGet(-released);
        }

        /** Releases all bytes. The allocation cannot grow any more. */
        @Override
        public synchronized void close() {
            closed = true;
            shrink(bytes);
        }
    }
}
