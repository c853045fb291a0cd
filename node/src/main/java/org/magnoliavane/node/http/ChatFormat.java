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
 * Formats answers as chat-completions objects and events.
 *
 * <p>Immutable and thread-safe.
 */
final class ChatFormat {
    static final byte[] KEEP_ALIVE = ": keep-alive\n\n".getBytes(StandardCharsets.UTF_8);
    static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final ModelRequest request;
    private final long createdSeconds;

    ChatFormat(ModelRequest request) {
        this.request = request;
        this.createdSeconds = System.currentTimeMillis() / 1000;
    }

    byte[] toFirstChunk() {
        ObjectNode chunk = createChunk();
        ObjectNode choice = addChoice(chunk, null);
        choice.putObject("delta").put("role", "assistant").put("content", "");
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toTokenChunk(StreamPosition position, String text) {
        ObjectNode chunk = createChunk();
        addChoice(chunk, null).putObject("delta").put("content", text);
        return toEvent(Optional.of(position), chunk);
    }

    byte[] toLastChunk(AnswerEnd end) {
        ObjectNode chunk = createChunk();
        addChoice(chunk, end.finishReason()).putObject("delta");
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toUsageChunk(AnswerEnd end) {
        ObjectNode chunk = createChunk();
        chunk.putArray("choices");
        chunk.set("usage", createUsage(end));
        return toEvent(Optional.empty(), chunk);
    }

    byte[] toCompleteResponse(String text, AnswerEnd end) {
        ObjectNode response = createObject("chat.completion");
        ObjectNode choice = addChoice(response, end.finishReason());
        choice.putObject("message").put("role", "assistant").put("content", text);
        response.set("usage", createUsage(end));
        return Json.write(response);
    }

    long getPriceMicros(AnswerEnd end) {
        return request.priceClass().getPriceMicros(end.promptTokens(), end.completionTokens());
    }

    static byte[] toEvent(Optional<StreamPosition> id, JsonNode data) {
        StringBuilder event = new StringBuilder(256);
        id.ifPresent(i -> event.append("id: ").append(i).append('\n'));
        event.append("data: ")
                .append(new String(Json.write(data), StandardCharsets.UTF_8))
                .append("\n\n");
        return event.toString().getBytes(StandardCharsets.UTF_8);
    }

    private ObjectNode createChunk() {
        return createObject("chat.completion.chunk");
    }

    private ObjectNode createObject(String type) {
        return Json.object()
                .put("id", "chatcmpl-" + request.id())
                .put("object", type)
                .put("created", createdSeconds)
                .put("model", request.model())
                .put("service_tier", request.priceClass().name());
    }

    private static ObjectNode addChoice(ObjectNode chunk, String finishReason) {
        return chunk.putArray("choices").addObject().put("index", 0).put("finish_reason", finishReason);
    }

    private ObjectNode createUsage(AnswerEnd end) {
        ObjectNode usage = Json.object()
                .put("prompt_tokens", end.promptTokens())
                .put("completion_tokens", end.completionTokens())
                .put("total_tokens", end.promptTokens() + end.completionTokens())
                .put("magnoliavane_price_micros", getPriceMicros(end));
        usage.putObject("prompt_tokens_details").put("cached_tokens", end.cachedTokens());
        return usage;
    }
}
