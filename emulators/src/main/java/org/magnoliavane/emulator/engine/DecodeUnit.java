package org.magnoliavane.emulator.engine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.magnoliavane.emulator.engine.DecodeStream.Reader;
import org.magnoliavane.emulator.engine.DecodeStream.State;
import org.magnoliavane.emulator.engine.EngineRequests.DecodeRequest;
import org.magnoliavane.emulator.engine.EngineRequests.KvCache;
import org.magnoliavane.emulator.http.ErrorResponse;

/**
 * Decodes streams by continuous batching. A step takes a base time plus a time for each stream of the batch, and
 * generates one token for each of them.
 *
 * <p>Not thread-safe.
 */
final class DecodeUnit {
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final long SLOW_READER_RETRY_MICROS = Micros.ofMillis(20);

    private final EngineOptions options;
    private final PieceMemory memory;
    private final Counters counters;
    private final Consumer<String> startListener;
    private final Map<String, DecodeStream> streams = new LinkedHashMap<>();
    private final List<DecodeStream> batch = new ArrayList<>();
    private long stepEndMicros = Micros.NEVER;
    private long lastSequence;

    DecodeUnit(EngineOptions options, PieceMemory memory, Counters counters, Consumer<String> startListener) {
        this.options = options;
        this.memory = memory;
        this.counters = counters;
        this.startListener = startListener;
    }

    /** Reserves memory for a stream, whose KV cache must then be fetched and passed to {@link #importKv}. */
    Either<ErrorResponse, DecodeStream> submit(DecodeRequest request, long nowMicros) {
        if (streams.containsKey(request.attempt())) {
            return Either.left(
                    new ErrorResponse(CONFLICT, "duplicate_attempt", "use a new attempt id for each attempt"));
        }
        int pieces = Math.max(1, request.reservePieces());
        if (!memory.tryReserve(pieces)) {
            counters.memoryRefusals++;
            String message = "the stream reserves " + pieces + " pieces, " + memory.getFree() + " are free";
            return Either.left(new ErrorResponse(CONFLICT, "memory_full", message));
        }
        DecodeStream stream = new DecodeStream(request, ++lastSequence, pieces, nowMicros);
        streams.put(stream.attempt, stream);
        return Either.right(stream);
    }

    /**
     * Prepares a stream for a new reader, which continues after a position. The present reader, if any, is
     * disconnected.
     */
    Either<ErrorResponse, DecodeStream> attach(String attempt, int from, Optional<String> owner) {
        DecodeStream stream = streams.get(attempt);
        if (stream == null) {
            return Either.left(
                    new ErrorResponse(NOT_FOUND, "unknown_attempt", "the attempt has ended or never ran here"));
        }
        if (from < 0 || from > stream.position) {
            String message = "from must be in 0 to " + stream.position + ", got " + from;
            return Either.left(new ErrorResponse(BAD_REQUEST, "bad_request", message));
        }
        stream.findReader().ifPresent(reader -> reader.output.end());
        stream.reader = null;
        owner.ifPresent(name -> stream.owner = name);
        return Either.right(stream);
    }

    Reader setReader(DecodeStream stream, StreamOutput output, int from, long nowMicros) {
        Reader reader = new Reader(output, from, stream.state != State.TRANSFERRING, nowMicros);
        stream.reader = reader;
        output.writeComment();
        writePending(stream, nowMicros);
        return reader;
    }

    /** Removes a disconnected reader. The stream continues without one. */
    void detach(DecodeStream stream, Reader reader) {
        if (stream.reader == reader) {
            stream.reader = null;
        }
    }

    void importKv(DecodeStream stream, KvCache cache, long nowMicros) {
        if (streams.get(stream.attempt) != stream || stream.state != State.TRANSFERRING) {
            return;
        }
        startListener.accept(cache.prompt());
        int needed = Math.max(stream.reservePieces, memory.computePieces(cache.promptTokens()));
        if (!tryGrow(stream, needed)) {
            counters.memoryRefusals++;
            fail(stream, "memory_full", "the prompt needs " + needed + " pieces", nowMicros);
            return;
        }
        stream.promptTokens = cache.promptTokens();
        stream.check = TokenText.computeCheck(cache.prompt());
        OptionalInt requestedTokens = TokenText.findMaxOutput(cache.prompt());
        stream.outputTokens = Math.min(stream.maxTokens, requestedTokens.orElse(stream.maxTokens));
        stream.finishReason =
                requestedTokens.isPresent() && requestedTokens.getAsInt() <= stream.maxTokens ? "stop" : "length";
        stream.state = State.QUEUED;
        counters.decodesStarted++;
        stream.findReader().ifPresent(reader -> {
            reader.importedWritten = true;
            reader.lastWriteMicros = nowMicros;
            reader.output.writeImported(Micros.toMillis(nowMicros - stream.arrivalMicros));
        });
        startStep(nowMicros);
    }

    void fail(DecodeStream stream, String kind, String message, long nowMicros) {
        if (streams.get(stream.attempt) != stream || stream.state.isTerminal()) {
            return;
        }
        counters.decodesFailed++;
        stream.errorKind = kind;
        stream.errorMessage = message;
        stream.state = State.FAILED;
        release(stream);
        stream.removalMicros = nowMicros + options.getFinishedRetainMicros();
        writePending(stream, nowMicros);
        startStep(nowMicros);
    }

    /** Cancels a stream and frees its memory. Returns false when the attempt is unknown, failed or read to its end. */
    boolean cancel(String attempt, long nowMicros) {
        DecodeStream stream = streams.remove(attempt);
        if (stream == null || stream.fullyRead || stream.state == State.FAILED) {
            return false;
        }
        counters.decodesCancelled++;
        stream.abortFetch.run();
        release(stream);
        batch.remove(stream);
        stream.findReader().ifPresent(reader -> {
            reader.output.writeError("cancelled", "the attempt was cancelled");
            reader.output.end();
        });
        startStep(nowMicros);
        return true;
    }

    void advance(long nowMicros) {
        while (stepEndMicros <= nowMicros) {
            finishStep();
        }
        startStep(nowMicros);
        for (DecodeStream stream : List.copyOf(streams.values())) {
            if (stream.removalMicros <= nowMicros) {
                streams.remove(stream.attempt);
                continue;
            }
            writePending(stream, nowMicros);
            sendKeepAlive(stream, nowMicros);
        }
    }

    long getNextEventMicros(long nowMicros) {
        long next = stepEndMicros;
        for (DecodeStream stream : streams.values()) {
            next = Math.min(next, stream.removalMicros);
            Reader reader = stream.reader;
            if (reader != null) {
                next = Math.min(next, reader.lastWriteMicros + options.getKeepAliveMicros());
                boolean unfinished = reader.sentPosition < stream.position || stream.state.isTerminal();
                next = unfinished ? Math.min(next, nowMicros + SLOW_READER_RETRY_MICROS) : next;
            }
        }
        return next;
    }

    Optional<DecodeStream> find(String attempt) {
        return Optional.ofNullable(streams.get(attempt));
    }

    Collection<DecodeStream> getAll() {
        return streams.values();
    }

    private void startStep(long nowMicros) {
        if (stepEndMicros != Micros.NEVER) {
            return;
        }
        streams.values().stream()
                .filter(stream -> stream.state != State.TRANSFERRING && !stream.state.isTerminal())
                .sorted(DecodeStream.QUEUE_ORDER)
                .forEach(this::joinStep);
        if (!batch.isEmpty()) {
            stepEndMicros = nowMicros + options.getStepBaseMicros() + batch.size() * options.getStepStreamMicros();
        }
    }

    private void joinStep(DecodeStream stream) {
        if (batch.size() >= options.getMaxRunning()) {
            stream.state = State.QUEUED;
            return;
        }
        if (!tryGrow(stream, memory.computePieces(stream.promptTokens + stream.position + 1))) {
            stream.state = State.STALLED;
            return;
        }
        stream.state = State.DECODING;
        batch.add(stream);
    }

    private void finishStep() {
        long endMicros = stepEndMicros;
        stepEndMicros = Micros.NEVER;
        List<DecodeStream> completed = List.copyOf(batch);
        batch.clear();
        for (DecodeStream stream : completed) {
            stream.position++;
            counters.tokensGenerated++;
            if (stream.position >= stream.outputTokens) {
                stream.state = State.FINISHED;
                counters.decodesFinished++;
            }
            writePending(stream, endMicros);
        }
        startStep(endMicros);
    }

    private boolean tryGrow(DecodeStream stream, int pieces) {
        int additional = Math.max(0, pieces - stream.pieces);
        if (!memory.tryReserve(additional)) {
            return false;
        }
        stream.pieces += additional;
        return true;
    }

    /** Writes the events that the reader has not received yet, as far as the reader keeps up. */
    private void writePending(DecodeStream stream, long nowMicros) {
        Reader reader = stream.reader;
        if (reader == null) {
            return;
        }
        while (reader.sentPosition < stream.position && reader.output.canWrite()) {
            reader.sentPosition++;
            reader.lastWriteMicros = nowMicros;
            reader.output.writeToken(reader.sentPosition, TokenText.format(reader.sentPosition, stream.check));
        }
        if (reader.sentPosition == stream.position && stream.state.isTerminal() && reader.output.canWrite()) {
            endResponse(stream, reader, nowMicros);
        }
    }

    private void endResponse(DecodeStream stream, Reader reader, long nowMicros) {
        if (stream.state == State.FINISHED) {
            reader.output.writeDone(stream.finishReason, stream.promptTokens, stream.position);
        } else {
            reader.output.writeError(stream.errorKind, stream.errorMessage);
        }
        reader.output.end();
        stream.reader = null;
        stream.fullyRead = true;
        stream.removalMicros = nowMicros + options.getFinishedRetainMicros();
        release(stream);
    }

    private void sendKeepAlive(DecodeStream stream, long nowMicros) {
        Reader reader = stream.reader;
        if (reader != null && reader.lastWriteMicros + options.getKeepAliveMicros() <= nowMicros) {
            reader.lastWriteMicros = nowMicros;
            reader.output.writeComment();
        }
    }

    private void release(DecodeStream stream) {
        memory.release(stream.pieces);
        stream.pieces = 0;
    }
}
