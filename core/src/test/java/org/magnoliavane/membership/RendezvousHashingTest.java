package org.magnoliavane.membership;

import java.util.List;
import java.util.function.Function;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RendezvousHashingTest {

    /** Guards against names that move between the remaining members when another one leaves. */
    @Test
    public void losingAMemberMovesOnlyTheNamesThatItOwned() {
        List<String> before = List.of("entry-1", "entry-2", "entry-3");
        List<String> after = List.of("entry-1", "entry-3");
        for (int i = 0; i < 100; i++) {
            String owner = owner("pool-" + i, before);
            if (!owner.equals("entry-2")) {
                assertEquals(owner("pool-" + i, after), owner);
            }
        }
    }

    @Test
    public void anEmptyListHasNoOwner() {
        assertTrue(RendezvousHashing.findOwner("pool", List.<String>of(), Function.identity())
                .isEmpty());
    }

    @Test
    public void theFirstOfSeveralOwnersIsTheOnlyOwner() {
        List<String> members = List.of("entry-1", "entry-2", "entry-3");
        for (int i = 0; i < 20; i++) {
            List<String> owners = RendezvousHashing.findOwners("pool-" + i, members, Function.identity(), 2);
            assertEquals(owners.size(), 2);
            assertEquals(owners.get(0), owner("pool-" + i, members));
        }
    }

    /** Guards against two nodes, or none, that act as an owner because the question about one member is answered differently. */
    @Test
    public void aMemberIsAnOwnerIfItIsAmongTheOwnersThatAreFound() {
        List<String> members = List.of("entry-1", "entry-2", "entry-3", "entry-4");
        for (int i = 0; i < 100; i++) {
            String name = "pool-" + i;
            for (int count = 1; count <= members.size(); count++) {
                List<String> owners = RendezvousHashing.findOwners(name, members, Function.identity(), count);
                for (String id : members) {
                    List<String> others =
                            members.stream().filter(m -> !m.equals(id)).toList();
                    boolean isOwner = RendezvousHashing.isOwner(name, id, others, Function.identity(), count);
                    assertEquals(isOwner, owners.contains(id));
                    assertEquals(RendezvousHashing.isOwner(name, id, members, Function.identity(), count), isOwner);
                }
            }
        }
    }

    private static String owner(String name, List<String> members) {
        return RendezvousHashing.findOwner(name, members, Function.identity()).orElseThrow();
    }
}
