package org.magnoliavane.bench;

/**
 * Tracks one attempt of a request through the engines. Not thread-safe.
 */
final class Attempt {
    enum State {
        OFFERED,
        PREFILL_QUEUED,
        PREFILLING,
        PREFILLED,
        TRANSFERRING,
        DECODING,
        OVER
    }

    final Job job;
    final int number;
    final String id;
    State state = State.OFFERED;
    PrefillEngine source;
    DecodeEngine target;
    int reservedPieces;
    int heldPieces;
    int cachedTokens;
    long prefillStartMicros;
    long prefillMicros;
    long startedMicros = -1;
    int position;
    long lastTokenMicros;
    boolean transferBegun;
    boolean counted;

    Attempt(Job job, int number) {
        this.job = job;
        this.number = number;
        this.id = job.id() + "-" + number;
    }

    boolean isOver() {
        return state == State.OVER;
    }
}
