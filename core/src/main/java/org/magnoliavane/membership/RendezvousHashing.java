package org.magnoliavane.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Chooses owners by rendezvous (highest random weight) hashing, so that the loss of a member moves only the names that
 * it owned.
 *
 * <p>Thread-safe.
 */
public final class RendezvousHashing {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private RendezvousHashing() {}

    /**
     * Finds the owner of a name.
     *
     * @param <T> the type of the members
     * @param name the name
     * @param members the members, in any order
     * @param idOf returns the id of a member; ids must be distinct
     * @return the owner; empty when there are no members
     */
    public static <T> Optional<T> findOwner(String name, List<T> members, Function<T, String> idOf) {
        T best = null;
        long bestWeight = 0;
        for (T member : members) {
            long weight = computeWeight(name, idOf.apply(member));
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = member;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Finds the owners of a name that has several.
     *
     * @param <T> the type of the members
     * @param name the name
     * @param members the members, in any order
     * @param idOf returns the id of a member; ids must be distinct
     * @param count the largest number of owners
     * @return the owners, first the one of {@link #findOwner}
     */
    public static <T> List<T> findOwners(String name, List<T> members, Function<T, String> idOf, int count) {
        return members.stream()
                .sorted(byWeight(name, idOf).reversed())
                .limit(count)
                .toList();
    }

    private static <T> Comparator<T> byWeight(String name, Function<T, String> idOf) {
        return Comparator.comparing(m -> computeWeight(name, idOf.apply(m)), Long::compareUnsigned);
    }

    private static long computeWeight(String name, String id) {
        return HASH.hashChars(name + "/" + id);
    }
}
