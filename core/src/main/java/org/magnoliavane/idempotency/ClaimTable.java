package org.magnoliavane.idempotency;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.magnoliavane.NodeRun;

/**
 * Folds the stream {@code claims}: the first record that names a key decides which run may run it.
 *
 * <p>Not thread-safe. Records must come in offset order.
 */
public final class ClaimTable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Claim> claims = new LinkedHashMap<>();
    private long skipped;

    /**
     * Creates a record that claims keys.
     *
     * @param run the run that claims
     * @param digests the digests of the keys
     * @return the bytes of the record
     */
    public static byte[] toRecord(NodeRun run, List<String> digests) {
        try {
            return MAPPER.writeValueAsBytes(new ClaimRecord(run.toString(), digests));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("strings can always be written as JSON", e);
        }
    }

    /**
     * Takes a record. An unreadable record is skipped and counted; all nodes skip the same ones.
     *
     * @param offset the offset of the record
     * @param data the bytes of the record
     * @return the digests that this record was the first to claim
     */
    public List<String> applyRecord(long offset, byte[] data) {
        Optional<ClaimRecord> record = parse(data);
        Optional<NodeRun> run = record.flatMap(r -> NodeRun.parse(r.run()));
        if (run.isEmpty()) {
            skipped++;
            return List.of();
        }
        List<String> first = new ArrayList<>();
        Claim claim = new Claim(run.get(), offset);
        for (String digest : record.get().keys()) {
            if (claims.putIfAbsent(digest, claim) == null) {
                first.add(digest);
            }
        }
        return first;
    }

    /**
     * Finds the first claim of a key.
     *
     * @param digest the digest of the key
     * @return the claim, or empty when no record that was taken claims the key
     */
    public Optional<Claim> find(String digest) {
        return Optional.ofNullable(claims.get(digest));
    }

    /**
     * Forgets the claims that the log service has removed.
     *
     * @param firstOffset the offset of the oldest record that is kept
     */
    public void removeBefore(long firstOffset) {
        Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext() && oldest.next().offset() < firstOffset) {
            oldest.remove();
        }
    }

    /**
     * Gets the number of keys.
     *
     * @return the number
     */
    public int getSize() {
        return claims.size();
    }

    /**
     * Gets the number of unreadable records.
     *
     * @return the number
     */
    public long getUnreadableCount() {
        return skipped;
    }

    private static Optional<ClaimRecord> parse(byte[] data) {
        try {
            return Optional.ofNullable(MAPPER.readValue(data, ClaimRecord.class))
                    .filter(r -> r.run() != null && r.keys() != null);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    @JsonIgnoreProperties(ignoreUnknown = true)
    private record ClaimRecord(String run, List<String> keys) {}
}
