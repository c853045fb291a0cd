package org.magnoliavane.emulator.engine;

import java.util.ArrayList;
import java.util.List;

/** Records the output of a stream. */
final class RecordedOutput implements StreamOutput {
    final List<String> tokens = new ArrayList<>();
    String end = "";
    int comments;
    boolean closed;

    @Override
    public boolean canWrite() {
        return true;
    }

    @Override
    public void writeImported(long transferMillis) {
        end = "imported";
    }

    @Override
    public void writeToken(int position, String text) {
        tokens.add(text);
    }

    @Override
    public void writeDone(String finishReason, int promptTokens, int completionTokens) {
        end = finishReason + " " + promptTokens + " " + completionTokens;
    }

    @Override
    public void writeError(String kind, String message) {
        end = kind;
    }

    @Override
    public void writeComment() {
        comments++;
    }

    @Override
    public void end() {
        closed = true;
    }
}
