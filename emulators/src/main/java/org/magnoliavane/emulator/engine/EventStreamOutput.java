package org.magnoliavane.emulator.engine;

import org.magnoliavane.emulator.http.EventStream;

/** Writes the events of a decode stream as server-sent events. */
final class EventStreamOutput implements StreamOutput {
    private final EventStream events;

    EventStreamOutput(EventStream events) {
        this.events = events;
    }

    @Override
    public boolean canWrite() {
        return events.canWrite();
    }

    @Override
    public void writeImported(long transferMillis) {
        events.write("imported", new Imported(transferMillis));
    }

    @Override
    public void writeToken(int position, String text) {
        events.write(position, "token", new Token(position, text));
    }

    @Override
    public void writeDone(String finishReason, int promptTokens, int completionTokens) {
        events.write("done", new Done(finishReason, promptTokens, completionTokens));
    }

    @Override
    public void writeError(String kind, String message) {
        events.write("error", new Failed(kind, message));
    }

    @Override
    public void writeComment() {
        events.writeComment();
    }

    @Override
    public void end() {
        events.end();
    }

    private record Imported(long transferMillis) {}

    private record Token(int position, String text) {}

    private record Done(String finishReason, int promptTokens, int completionTokens) {}

    private record Failed(String kind, String message) {}
}
