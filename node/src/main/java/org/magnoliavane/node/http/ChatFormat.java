package org.magnoliavane.node.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.json.Json;
import org.magnoliavane.node.dispatch.AnswerEnd;
import org.magnoliavane.node.dispatch.ModelRequest;
import org.magnoliavane.node.dispatch.StreamPosition;

/**
 * Writes answers in the chat-completions shape.
 *
 * <p>Immutable and thread-safe.
 */
final class ChatFormat {
    static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);
    static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ModelRequest call;
    private final long createdSeconds;

    ChatFormat(ModelRequest call) {
        this.call = call;
        this.createdSeconds = System.currentTimeMillis() / 1000;
    }

    byte[] toFirstChunk() {
        ObjectNode chunk = chunk();
        ObjectNode choice = choice(chunk, null);
        choice.putObject("delta").put("role", "assistant").put("content", "");
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toTokenChunk(StreamPosition position, String text) {
        ObjectNode chunk = chunk();
        choice(chunk, null).putObject("delta").put("content", text);
        return toEvent(Optional.of(position), chunk);
    }

    byte[] toLastChunk(AnswerEnd end) {
        ObjectNode chunk = chunk();
        choice(chunk, end.finishReason()).putObject("delta");
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toUsageChunk(AnswerEnd end) {
        ObjectNode chunk = chunk();
        chunk.putArray("choices");
        chunk.set("usage", usage(end));
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toWhole(String text, AnswerEnd end) {
        ObjectNode whole = head("chat.completion");
        ObjectNode choice = choice(whole, end.finishReason());
        choice.putObject("message").put("role", "assistant").put("content", text);
        whole.set("usage", usage(end));
        return Json.write(whole);
    }

    long getPriceMicros(AnswerEnd end) {
        return call.priceClass().getPriceMicros(end.promptTokens(), end.completionTokens());
    }

    static byte[] toEvent(Optional<StreamPosition> id, JsonNode data) {
        StringBuilder event = new StringBuilder(256);
        id.ifPresent(i -> event.append("id: ").append(i).append('\n'));
        event.append("data: ")
                .append(new String(Json.write(data), StandardCharsets.UTF_8))
                .append("\n\n");
        return event.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode chunk() {
        return head("chat.completion.chunk");
    }

    private ObjectNode head(String type) {
        return Json.object()
                .put("id", "chatcmpl-" + call.request())
                .put("object", type)
                .put("created", createdSeconds)
                .put("model", call.model())
                .put("service_tier", call.priceClass().name());
    }

    private static ObjectNode choice(ObjectNode chunk, String finishReason) {
        return chunk.putArray("choices").addObject().put("index", 0).put("finish_reason", finishReason);
    }

    private ObjectNode usage(AnswerEnd end) {
        ObjectNode usage = Json.object()
                .put("prompt_tokens", end.promptTokens())
                .put("completion_tokens", end.completionTokens())
                .put("total_tokens", end.promptTokens() + end.completionTokens())
                .put("magnoliavane_price_micros", getPriceMicros(end));
        usage.putObject("prompt_tokens_details").put("cached_tokens", end.cachedTokens());
        return usage;
    }
}
