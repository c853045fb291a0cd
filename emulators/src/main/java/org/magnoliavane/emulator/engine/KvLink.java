package org.magnoliavane.emulator.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Simulates the outgoing link of a prefill worker, which transfers KV caches one at a time. A result that is queued on
 * the link does not expire.
 *
 * <p>Not thread-safe.
 */
final class KvLink {
    private final double tokensPerSecond;
    private final PrefillUnit prefills;
    private final Deque<Transfer> queue = new ArrayDeque<>();
    private boolean stalled;
    private long headEndMicros = Micros.NEVER;
    private long headRemainingMicros;

    KvLink(double tokensPerSecond, PrefillUnit prefills) {
        this.tokensPerSecond = tokensPerSecond;
        this.prefills = prefills;
    }

    /**
     * Queues a transfer.
     *
     * @param prefill the finished prefill
     * @param endListener receives true when the KV cache was transferred, false when the prefill was cancelled
     *     meanwhile
     */
    Transfer startTransfer(Prefill prefill, Consumer<Boolean> endListener, long nowMicros) {
        prefill.state = Prefill.State.SENDING;
        Transfer transfer = new Transfer(prefill, endListener);
        queue.addLast(transfer);
        if (queue.size() == 1) {
            startHead(nowMicros);
        }
        return transfer;
    }

    /** Aborts a transfer whose receiver has disconnected. The result can be fetched again until it expires. */
    void abort(Transfer transfer, long nowMicros) {
        boolean head = queue.peekFirst() == transfer;
        if (!queue.remove(transfer)) {
            return;
        }
        if (prefills.contains(transfer.prefill)) {
            transfer.prefill.state = Prefill.State.FINISHED;
        }
        if (head) {
            startHead(nowMicros);
        }
    }

    void setStalled(boolean value, long nowMicros) {
        if (value == stalled) {
            return;
        }
        stalled = value;
        if (queue.isEmpty()) {
            return;
        }
        if (stalled) {
            headRemainingMicros = headEndMicros - nowMicros;
            headEndMicros = Micros.NEVER;
        } else {
            headEndMicros = nowMicros + headRemainingMicros;
        }
    }

    void advance(long nowMicros) {
        while (!queue.isEmpty() && headEndMicros <= nowMicros) {
            long endMicros = headEndMicros;
            Transfer transfer = queue.removeFirst();
            startHead(endMicros);
            boolean known = prefills.contains(transfer.prefill);
            if (known) {
                prefills.completeTransfer(transfer.prefill);
            }
            transfer.endListener.accept(known);
        }
    }

    long getNextEventMicros() {
        return headEndMicros;
    }

    private void startHead(long nowMicros) {
        headEndMicros = Micros.NEVER;
        if (queue.isEmpty()) {
            return;
        }
        headRemainingMicros = Micros.durationOf(queue.peekFirst().prefill.promptTokens, tokensPerSecond);
        if (!stalled) {
            headEndMicros = nowMicros + headRemainingMicros;
        }
    }

    /** Transfer that is queued or in progress. Transfers are compared by identity. */
    static final class Transfer {
        private final Prefill prefill;
        private final Consumer<Boolean> endListener;

        Transfer(Prefill prefill, Consumer<Boolean> endListener) {
            this.prefill = prefill;
            this.endListener = endListener;
        }
    }
}
