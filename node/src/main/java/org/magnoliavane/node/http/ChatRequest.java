package org.magnoliavane.node.http;

import java.io.IOException;
import java.util.Optional;
import java.util.OptionalInt;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.magnoliavane.json.Json;

/**
 * Holds the fields of a chat-completions request that the router uses. Other fields are ignored.
 *
 * @param model the model
 * @param prompt the messages, rendered as one prompt
 * @param stream true when the answer is to be sent as events
 * @param includeUsage true when the last event must contain the usage
 * @param maxTokens the largest length of the output in tokens; empty when the request has none
 * @param serviceTier the price class; empty when the request has none
 */
record ChatRequest(
        String model,
        String prompt,
        boolean stream,
        boolean includeUsage,
        OptionalInt maxTokens,
        Optional<String> serviceTier) {

    /** Parses a request body. */
    static Either<ParamFault, ChatRequest> parse(byte[] body) {
        JsonNode json;
        try {
            json = Json.read(body);
        } catch (JsonProcessingException e) {
            return Either.left(malformedJson(e));
        } catch (IOException e) {
            return Either.left(ParamFault.invalid("", "the body cannot be read as JSON", "send UTF-8 JSON"));
        }
        if (!json.isObject()) {
            return Either.left(ParamFault.invalid("", "the body is not a JSON object", "send an object"));
        }
        return parse(json);
    }

    private static Either<ParamFault, ChatRequest> parse(JsonNode json) {
        String model = json.path("model").asText("");
        if (model.isEmpty() || !json.path("model").isTextual()) {
            return Either.left(
                    ParamFault.invalid("model", "model is missing", "send a model that GET /v1/models lists"));
        }
        if (json.path("n").asInt(1) != 1) {
            return Either.left(ParamFault.invalid("n", "n is not 1", "send one request for each answer"));
        }
        return parseMaxTokens(json)
                .flatMap(max -> renderPrompt(json.path("messages"))
                        .map(prompt -> new ChatRequest(
                                model,
                                prompt,
                                json.path("stream").asBoolean(false),
                                json.path("stream_options")
                                        .path("include_usage")
                                        .asBoolean(false),
                                max,
                                Optional.ofNullable(json.path("service_tier").textValue()))));
    }

    private static Either<ParamFault, OptionalInt> parseMaxTokens(JsonNode json) {
        String name = json.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = json.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return Either.right(OptionalInt.empty());
        }
        if (!value.isIntegralNumber() || value.asLong() < 1) {
            String message = name + " is " + value + ", allowed is an integer of at least 1";
            return Either.left(ParamFault.invalid(name, message, "correct the number or omit it"));
        }
        return Either.right(OptionalInt.of((int) Math.min(Integer.MAX_VALUE, value.asLong())));
    }

    private static Either<ParamFault, String> renderPrompt(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return Either.left(
                    ParamFault.invalid("messages", "messages is not a list, or is empty", "send at least one message"));
        }
        StringBuilder prompt = new StringBuilder();
        for (int i = 0; i < messages.size(); i++) {
            JsonNode message = messages.get(i);
            Optional<String> content = parseContent(message.path("content"));
            if (!message.path("role").isTextual() || content.isEmpty()) {
                String param = "messages[" + i + "]";
                return Either.left(ParamFault.invalid(
                        param,
                        param + " lacks a role, or its content is not text",
                        "send text or a list of text parts"));
            }
            prompt.append(message.path("role").asText())
                    .append(": ")
                    .append(content.get())
                    .append('\n');
        }
        return Either.right(prompt.append("assistant:").toString());
    }

    private static Optional<String> parseContent(JsonNode content) {
        if (content.isNull()) {
            return Optional.of("");
        }
        if (content.isTextual()) {
            return Optional.of(content.asText());
        }
        if (!content.isArray()) {
            return Optional.empty();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode part : content) {
            if (!part.path("text").isTextual()) {
                return Optional.empty();
            }
            text.append(part.path("text").asText());
        }
        return Optional.of(text.toString());
    }

    private static ParamFault malformedJson(JsonProcessingException e) {
        JsonLocation at = e.getLocation();
        String where = at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
        return ParamFault.invalid(
                "", "malformed JSON" + where + ": " + e.getOriginalMessage(), "correct the body and send it again");
    }
}
