package org.magnoliavane.config;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

/**
 * Represents a record of the stream {@code configuration}.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface ConfigurationRecord {

    /** The name of the stream. */
    String STREAM = "configuration";

    /**
     * Proposes a configuration as the next version.
     *
     * @param base the version on which the configuration is based
     * @param version the proposed version, which is one more than the base
     * @param text the TOML text
     * @param author the author of the publication
     * @param id the id by which the publisher finds the record when the response to its append is lost
     */
    record Publication(long base, long version, String text, String author, String id) implements ConfigurationRecord {
        @Override
        public byte[] toBytes() {
            return Codec.start("publish")
                    .put("base", base)
                    .put("version", version)
                    .put("text", text)
                    .put("author", author)
                    .put("id", id)
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * Repeats the current version, so that it is still known after retention has removed the records that led to it.
     *
     * @param version the version
     * @param asOf the offset of the last record that was applied; -1 when there was none
     * @param text the TOML text
     */
    record Snapshot(long version, long asOf, String text) implements ConfigurationRecord {
        @Override
        public byte[] toBytes() {
            return Codec.start("snapshot")
                    .put("version", version)
                    .put("as_of", asOf)
                    .put("text", text)
                    .toString()
                    .getBytes(StandardCharsets.UTF_8);
        }
    }

    /**
     * Encodes this record for the stream.
     *
     * @return JSON in UTF-8
     */
    byte[] toBytes();

    /**
     * Parses a record of the stream.
     *
     * @param data the bytes of the record
     * @return the record, or the reason why it is invalid
     */
    static Either<String, ConfigurationRecord> parse(byte[] data) {
        JsonNode node;
        try {
            node = Codec.MAPPER.readTree(data);
        } catch (IOException e) {
            return Either.left("not JSON in UTF-8");
        }
        return switch (node.path("kind").asText()) {
            case "publish" -> Codec.toPublication(node);
            case "snapshot" -> Codec.toSnapshot(node);
            default -> Either.left("\"kind\" must be \"publish\" or \"snapshot\"");
        };
    }

    /** Encodes and decodes records as JSON. */
    final class Codec {
        private static final ObjectMapper MAPPER = new ObjectMapper();

        private Codec() {}

        private static ObjectNode start(String kind) {
            return MAPPER.createObjectNode().put("kind", kind);
        }

        private static Either<String, ConfigurationRecord> toPublication(JsonNode node) {
            if (!isLong(node.path("base")) || !isLong(node.path("version"))) {
                return Either.left("\"base\" and \"version\" must be integers");
            }
            if (!node.path("text").isTextual()) {
                return Either.left("\"text\" must be a string");
            }
            return Either.right(new Publication(
                    node.get("base").longValue(),
                    node.get("version").longValue(),
                    node.get("text").textValue(),
                    node.path("author").asText(),
                    node.path("id").asText()));
        }

        private static Either<String, ConfigurationRecord> toSnapshot(JsonNode node) {
            if (!isLong(node.path("version")) || !isLong(node.path("as_of"))) {
                return Either.left("\"version\" and \"as_of\" must be integers");
            }
            if (!node.path("text").isTextual()) {
                return Either.left("\"text\" must be a string");
            }
            return Either.right(new Snapshot(
                    node.get("version").longValue(),
                    node.get("as_of").longValue(),
                    node.get("text").textValue()));
        }

        private static boolean isLong(JsonNode node) {
            return node.isIntegralNumber() && node.canConvertToLong();
        }
    }
}
