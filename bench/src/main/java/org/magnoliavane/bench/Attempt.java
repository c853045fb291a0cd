package org.magnoliavane.bench;

/**
 * Holds the state of one attempt of a request on its way through the engines. Not thread-safe.
 */
final class Attempt {
    /** The states of an attempt, in order. */
    enum State {
        OFFERED,
        PREFILL_QUEUED,
        PREFILLING,
        PREFILLED,
        TRANSFERRING,
        DECODING,
        ENDED
    }

    final Job job;
    final int number;
    final String id;
    State state = State.OFFERED;
    PrefillEngine prefillEngine;
    DecodeEngine decodeEngine;
    int reservedPieces;
    int heldPieces;
    int cachedTokens;
    long prefillStartMicros;
    long prefillMicros;
    long startedMicros = -1;
    int generatedTokens;
    long lastTokenMicros;
    boolean transferStarted;
    boolean counted;

    Attempt(Job job, int number) {
        this.job = job;
        this.number = number;
        this.id = job.id() + "-" + number;
    }

    boolean isEnded() {
        return state == State.ENDED;
    }
}
