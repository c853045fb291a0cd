package org.magnoliavane.membership;

import java.util.List;
import java.util.function.Function;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RendezvousHashingTest {

    /** Guards against ownership that moves between members that stay when another one leaves. */
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

    private static String owner(String name, List<String> members) {
        return RendezvousHashing.findOwner(name, members, Function.identity()).orElseThrow();
    }
}
