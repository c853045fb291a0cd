package org.magnoliavane.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Chooses owners by rendezvous (highest random weight) hashing, so that the loss of a member moves only what it owned.
 */
public final class RendezvousHashing {
    private static final LongHashFunction HASH = LongHashFunction.xx();

    private RendezvousHashing() {}

    /**
     * Chooses the owner of a name.
     *
     * @param <T> the type of the members
     * @param name the name to own
     * @param members the members, in any order
     * @param idOf gets the id of a member; ids differ
     * @return the owner, or empty when there are no members
     */
    public static <T> Optional<T> findOwner(String name, List<T> members, Function<T, String> idOf) {
        T best = null;
        long bestWeight = 0;
        for (T member : members) {
            long weight = HASH.hashChars(name + "/" + idOf.apply(member));
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = member;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }
}
