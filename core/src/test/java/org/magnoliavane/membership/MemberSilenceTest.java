package org.magnoliavane.membership;

import java.util.List;

import org.magnoliavane.membership.MemberSilence.State;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class MemberSilenceTest {
    private final MemberSilence silence = new MemberSilence(2500, 3000, 9000);

    @Test
    public void aMemberIsLiveThenSilentThenLost() {
        assertEquals(silence.getState(true, 2500), State.LIVE);
        assertEquals(silence.getState(true, 2501), State.SILENT);
        assertEquals(silence.getState(true, 9000), State.SILENT);
        assertEquals(silence.getState(true, 9001), State.LOST);
    }

    @Test
    public void aNewMemberHasLongerForItsFirstReport() {
        assertEquals(silence.getState(false, 3000), State.LIVE);
        assertEquals(silence.getState(false, 3001), State.SILENT);
        assertEquals(silence.getState(false, 9001), State.LOST);
    }

    /** Guards against lost members that count for ever as evidence of a fault at the member that decides. */
    @Test
    public void onlyMembersThatAreNotLostShowWhereTheFaultIs() {
        assertTrue(MemberSilence.isTrusted(List.of(State.LOST, State.LOST, State.LOST, State.LIVE)));
        assertTrue(MemberSilence.isTrusted(List.of(State.SILENT, State.LIVE)));
        assertFalse(MemberSilence.isTrusted(List.of(State.SILENT, State.SILENT, State.LIVE)));
        assertFalse(MemberSilence.isTrusted(List.of(State.LOST, State.LOST, State.SILENT)));
        assertTrue(MemberSilence.isTrusted(List.of()));
    }

    @Test
    public void lostMembersAreTheLastChoice() {
        assertFalse(MemberSilence.mayUseLost(List.of(State.LOST, State.LOST), true));
        assertFalse(MemberSilence.mayUseLost(List.of(State.LOST, State.SILENT), false));
        assertFalse(MemberSilence.mayUseLost(List.of(State.LOST, State.LIVE), false));
        assertTrue(MemberSilence.mayUseLost(List.of(State.LOST, State.LOST), false));
    }
}
