package org.magnoliavane.emulator.engine;

/**
 * Writes the events of a decode stream to the attached connection.
 */
interface StreamOutput {

    /** Says whether the reader keeps up. */
    boolean canWrite();

    /** Writes that the KV cache has arrived. */
    void writeImported(long transferMillis);

    /** Writes a token. */
    void writeToken(int position, String text);

    /** Writes the last event of a complete stream. */
    void writeDone(String finishReason, int promptTokens, int completionTokens);

    /** Writes the last event of a failed stream. */
    void writeError(String kind, String message);

    /** Writes a comment line. */
    void writeComment();

    /** Ends the response. */
    void end();
}
