package org.magnoliavane.config;

import java.util.Collection;
import java.util.Optional;

/**
 * Finds the known name that is closest to a misspelled one, by edit distance or by prefix.
 */
final class NearestName {
    private static final int MAX_DISTANCE = 3;
    private static final int MIN_PREFIX_LENGTH = 3;

    private NearestName() {}

    static Optional<String> find(String name, Collection<String> known) {
        String best = null;
        int bestDistance = Math.min(MAX_DISTANCE, name.length() / 2) + 1;
        for (String candidate : known) {
            int distance = distance(name, candidate);
            if (distance < bestDistance) {
                best = candidate;
                bestDistance = distance;
            }
        }
        return Optional.ofNullable(best).or(() -> findByPrefix(name, known));
    }

    private static Optional<String> findByPrefix(String name, Collection<String> known) {
        if (name.length() < MIN_PREFIX_LENGTH) {
            return Optional.empty();
        }
        return known.stream().filter(k -> k.startsWith(name)).findFirst();
    }

    private static int distance(String left, String right) {
        int[] row = new int[right.length() + 1];
        for (int j = 0; j < row.length; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= left.length(); i++) {
            int diagonal = row[0];
            row[0] = i;
            for (int j = 1; j < row.length; j++) {
                int replaced = diagonal + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
                diagonal = row[j];
                row[j] = Math.min(replaced, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[right.length()];
    }
}
