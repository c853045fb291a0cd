package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.List;

/**
 * Identifies what of a request may crash a worker: its whole content, or one of the parts of its prompt that other requests
 * share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param content the hash of the whole content
 * @param parts the ids of the shared parts
 */
public record RequestFeatures(long content, List<Long> parts) {

    /**
     * Gets the content and the parts.
     *
     * @return the ids
     */
    public List<Long> getAll() {
        List<Long> all = new ArrayList<>(parts);
        all.add(content);
        return all;
    }
}
