package org.magnoliavane.emulator.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.glassfish.grizzly.http.io.NIOOutputStream;
import org.glassfish.grizzly.http.server.Response;

/**
 * Writes an answer of a known length piece by piece without blocking.
 *
 * <p>Bytes must be written by one thread at a time.
 */
public final class ByteStream {
    private static final int CHUNK_BYTES = 1 << 16;
    private static final byte[] ZEROS = new byte[CHUNK_BYTES];

    private final Response response;
    private final NIOOutputStream output;
    private final BooleanSupplier unresponsive;
    private final AtomicBoolean closed = new AtomicBoolean();

    ByteStream(Response response, long length, BooleanSupplier silent) {
        this.response = response;
        this.unresponsive = silent;
        response.setStatus(200);
        response.setContentType("application/octet-stream");
        response.setContentLengthLong(length);
        output = response.getNIOOutputStream();
    }

    /**
     * Says whether the connection is closed or the answer has ended.
     *
     * @return true when nothing can be written any more
     */
    public boolean isClosed() {
        return closed.get();
    }

    /**
     * Writes zero bytes.
     *
     * @param count the number of bytes
     */
    public void writeZeros(long count) {
        try {
            for (long left = count; left > 0 && !closed.get() && !unresponsive.getAsBoolean(); left -= CHUNK_BYTES) {
                output.write(ZEROS, 0, (int) Math.min(CHUNK_BYTES, left));
            }
            output.flush();
        } catch (IOException e) {
            markClosed();
        }
    }

    /** Ends the answer; does nothing when it has ended or its connection is closed. */
    public void end() {
        if (markClosed() && !unresponsive.getAsBoolean()) {
            response.resume();
        }
    }

    boolean markClosed() {
        return closed.compareAndSet(false, true);
    }
}
