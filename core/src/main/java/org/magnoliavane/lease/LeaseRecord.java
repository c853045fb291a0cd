package org.magnoliavane.lease;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

/**
 * Represents a record of the stream {@code leases}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the requested operation
 * @param lease the name of the lease
 * @param holder the node run that requests it
 * @param id the id by which the holder recognizes its own records
 * @param durationMillis the duration of the lease from the append on, in milliseconds; 0 for a release
 * @param fencingToken the fencing token of the lease to renew or release; -1 for an acquisition
 * @param seenOffset the offset of the last record that the holder had read; -1 when there was none
 */
public record LeaseRecord(
        Kind kind, String lease, String holder, String id, long durationMillis, long fencingToken, long seenOffset) {

    /** The name of the stream. */
    public static final String STREAM = "leases";

    /** The maximum duration of a lease in milliseconds, far below the retention time of the log service. */
    public static final long MAX_DURATION_MILLIS = 600_000;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Kinds of records. */
    public enum Kind {
        /** Acquires a lease that is free or has expired. */
        ACQUIRE,
        /** Extends a lease. */
        RENEW,
        /** Releases a lease before its end. */
        RELEASE
    }

    /**
     * Encodes this record for the stream.
     *
     * @return JSON in UTF-8
     */
    public byte[] toBytes() {
        ObjectNode node = MAPPER.createObjectNode()
                .put("kind", kind.name().toLowerCase(Locale.ROOT))
                .put("lease", lease)
                .put("holder", holder)
                .put("id", id)
                .put("duration_millis", durationMillis)
                .put("fencing", fencingToken)
                .put("seen_offset", seenOffset);
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Parses a record of the stream.
     *
     * @param data the bytes of the record
     * @return the record, or the reason why it is invalid
     */
    public static Either<String, LeaseRecord> parse(byte[] data) {
        JsonNode node;
        try {
            node = MAPPER.readTree(data);
        } catch (IOException e) {
            return Either.left("not JSON in UTF-8");
        }
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(node.path("kind").asText())) {
                return toRecord(kind, node);
            }
        }
        return Either.left("\"kind\" must be \"acquire\", \"renew\" or \"release\"");
    }

    private static Either<String, LeaseRecord> toRecord(Kind kind, JsonNode node) {
        for (String key : new String[] {"lease", "holder", "id"}) {
            if (node.path(key).asText().isEmpty()) {
                return Either.left("\"" + key + "\" must be a non-empty string");
            }
        }
        for (String key : new String[] {"duration_millis", "fencing", "seen_offset"}) {
            if (!node.path(key).isIntegralNumber() || !node.path(key).canConvertToLong()) {
                return Either.left("\"" + key + "\" must be an integer");
            }
        }
        long duration = node.get("duration_millis").longValue();
        if (duration < 0 || duration > MAX_DURATION_MILLIS) {
            return Either.left("\"duration_millis\" must be from 0 to " + MAX_DURATION_MILLIS);
        }
        return Either.right(new LeaseRecord(
                kind,
                node.get("lease").asText(),
                node.get("holder").asText(),
                node.get("id").asText(),
                duration,
                node.get("fencing").longValue(),
                node.get("seen_offset").longValue()));
    }
}
