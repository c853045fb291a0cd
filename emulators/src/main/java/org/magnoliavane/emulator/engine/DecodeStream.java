package org.magnoliavane.emulator.engine;

import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

import org.magnoliavane.emulator.engine.EngineRequests.DecodeRequest;

/**
 * Holds the state of a decode stream from its arrival until it is read to its end, cancelled or removed.
 *
 * <p>Not thread-safe.
 */
final class DecodeStream {
    /** Order in which streams join the batch and receive memory: higher priority first, then by arrival. */
    static final Comparator<DecodeStream> QUEUE_ORDER = Comparator.<DecodeStream>comparingInt(
                    stream -> -stream.priority)
            .thenComparingLong(stream -> stream.sequence);

    /** States of a stream. */
    enum State {
        /** The KV cache is being transferred. */
        TRANSFERRING,
        /** Waits for a place in the batch. */
        QUEUED,
        /** Is in the batch and generates a token in each step. */
        DECODING,
        /** Waits for a free piece of memory to grow into. */
        STALLED,
        /** All tokens are generated, but some may not have been written to a reader. */
        FINISHED,
        /** Ended by an error and holds no memory. */
        FAILED;

        String toWire() {
            return name().toLowerCase(Locale.ROOT);
        }

        boolean isTerminal() {
            return this == FINISHED || this == FAILED;
        }
    }

    final String attempt;
    final String caller;
    final int priority;
    final long sequence;
    final int maxTokens;
    final int reservePieces;
    final long arrivalMicros;
    String owner;
    State state = State.TRANSFERRING;
    int pieces;
    int promptTokens;
    int outputTokens;
    int position;
    String finishReason;
    String check;
    String errorKind;
    String errorMessage;
    boolean fullyRead;
    long removalMicros = Micros.NEVER;
    Reader reader;
    Runnable abortFetch = () -> {};

    DecodeStream(DecodeRequest request, long sequence, int pieces, long arrivalMicros) {
        this.attempt = request.attempt();
        this.caller = request.caller() == null ? "" : request.caller();
        this.owner = request.owner() == null ? "" : request.owner();
        this.priority = request.priority();
        this.sequence = sequence;
        this.maxTokens = request.maxTokens();
        this.reservePieces = request.reservePieces();
        this.pieces = pieces;
        this.arrivalMicros = arrivalMicros;
    }

    Optional<Reader> findReader() {
        return Optional.ofNullable(reader);
    }

    /** Connection attached to a stream, with the position of the last token written to it. */
    static final class Reader {
        final StreamOutput output;
        int sentPosition;
        boolean importedWritten;
        long lastWriteMicros;

        Reader(StreamOutput output, int sent, boolean importedSent, long nowMicros) {
            this.output = output;
            this.sentPosition = sent;
            this.importedWritten = importedSent;
            this.lastWriteMicros = nowMicros;
        }
    }
}
