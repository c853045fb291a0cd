package org.magnoliavane.emulator.engine;

/**
 * Writes the events of a decode stream to the attached connection.
 */
interface StreamOutput {

    /** Returns whether the reader keeps up, so that an event can be written without being buffered. */
    boolean canWrite();

    /** Writes the event that the KV cache has arrived, with the duration of its transfer in milliseconds. */
    void writeImported(long transferMillis);

    /** Writes a token and its position, from 1. */
    void writeToken(int position, String text);

    /** Writes the last event of a complete stream. */
    void writeDone(String finishReason, int promptTokens, int completionTokens);

    /** Writes the last event of a failed stream. */
    void writeError(String kind, String message);

    /** Writes a comment line as a keep-alive. */
    void writeComment();

    /** Ends the response. */
    void end();
}
