package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes a response body of known length in parts without blocking.
 *
 * <p>Not thread-safe: only one thread may write at a time. A close of the connection may be reported by any thread.
 */
public final class ByteStream {
    private static final int CHUNK_BYTES = 1 << 16;
    private static final byte[] ZEROS = new byte[CHUNK_BYTES];

    private final Response response;
    private final NIOOutputStream output;
    private final BooleanSupplier unresponsive;
    private final AtomicBoolean closed = new AtomicBoolean();

    ByteStream(Response response, long length, BooleanSupplier unresponsive) {
        this.response = response;
        this.unresponsive = unresponsive;
        response.setStatus(200);
        response.setContentType("application/octet-stream");
        response.setContentLengthLong(length);
        output = response.getNIOOutputStream();
    }

    /**
     * Returns whether the connection is closed or the response has ended.
     *
     * @return true when no more bytes can be written
     */
    public boolean isClosed() {
        return closed.get();
    }

    /**
     * Writes bytes of value zero. Nothing is written when the response has ended or the connection is unresponsive.
     *
     * @param count the number of bytes
     */
    public void writeZeros(long count) {
        try {
            for (long remaining = count;
                    remaining > 0 && !closed.get() && !unresponsive.getAsBoolean();
                    remaining -= CHUNK_BYTES) {
                output.write(ZEROS, 0, (int) Math.min(CHUNK_BYTES, remaining));
            }
            output.flush();
        } catch (IOException e) {
            markClosed();
        }
    }

    /** Ends the response; does nothing when it has ended or its connection is closed. */
    public void end() {
        if (markClosed() && !unresponsive.getAsBoolean()) {
            response.resume();
        }
    }

    boolean markClosed() {
        return closed.compareAndSet(false, true);
    }
}
