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

    /**
     * Returns whether a member is among the owners of a name, as {@link #findOwners} finds them. Looks at no more members than
     * it takes to find as many with a higher weight.
     *
     * @param <T> the type of the members
     * @param name the name
     * @param id the id of the member
     * @param members the members, in any order; the member itself may be left out
     * @param idOf returns the id of a member; ids must be distinct
     * @param count the largest number of owners
     * @return true if fewer than {@code count} members have a higher weight
     */
    public static <T> boolean isOwner(
            String name, String id, Iterable<T> members, Function<T, String> idOf, int count) {
        long weight = computeWeight(name, id);
        int higher = 0;
        for (T member : members) {
            if (Long.compareUnsigned(computeWeight(name, idOf.apply(member)), weight) > 0 && ++higher >= count) {
                return false;
            }
        }
        return true;
    }

    private static <T> Comparator<T> byWeight(String name, Function<T, String> idOf) {
        return Comparator.comparing(m -> computeWeight(name, idOf.apply(m)), Long::compareUnsigned);
    }

    private static long computeWeight(String name, String id) {
        return HASH.hashChars(name + "/" + id);
    }
}
