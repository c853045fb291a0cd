package org.magnoliavane.usage;

import java.util.OptionalLong;
import java.util.function.ToLongFunction;

import org.magnoliavane.routing.UsageCap;
import org.magnoliavane.usage.UsageOwner.MessageId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests the decisions of an owner and of a node on messages that are repeated, late, forged or of another configuration. */
public class UsageOwnerTest {
    private static final UsageCap CAP = new UsageCap(UsageCap.Unit.TOKENS, 1000, 1000, 200);
    private UsageOwner owner;

    @BeforeMethod
    public void createOwner() {
        owner = new UsageOwner(0.25);
    }

    /** Guards against a request that is charged twice because its reply was lost, and a return that is credited twice. */
    @Test
    public void repeatedMessagesHaveNoFurtherEffect() {
        assertTrue(ask(7, 250, 0).isGranted());
        assertTrue(ask(7, 250, 15).isGranted());
        assertFalse(ask(8, 250, 15).isGranted());
        for (int i = 0; i < 3; i++) {
            owner.giveBack(new MessageId("n", 1, 9), "o", 100, 20);
        }
        assertFalse(ask(10, 200, 20).isGranted());
        assertTrue(ask(11, 100, 20).isGranted());
    }

    /** Guards against callers that all return at the same moment, and against one that returns before there is room. */
    @Test
    public void refusedCallersReturnOneAfterAnotherWhenThereIsRoom() {
        assertTrue(ask(1, 250, 0).isGranted());
        for (int i = 1; i <= 10; i++) {
            assertEquals(ask(1 + i, 500, 0).retryAfterMillis(), 500L * i);
        }
        for (int i = 1; i <= 10; i++) {
            assertTrue(ask(20 + i, 500, 500L * i).isGranted(), "caller " + i);
        }
        for (int i = 0; i < 1000; i++) {
            assertTrue(ask(100 + i, 500, 5000).retryAfterMillis() <= UsageOwner.MAX_RETRY_MILLIS);
        }
    }

    /** Guards against a request that is refused for ever because it is larger than the burst. */
    @Test
    public void aRequestLargerThanTheBurstIsGrantedAndPaidLater() {
        ask(1, 250, 0);
        assertEquals(ask(2, 3000, 0).retryAfterMillis(), 1000);
        assertTrue(ask(3, 3000, 1000).isGranted());
        // The debt of 2,000, 500 for the request, and 3,000 promised to the refused one until 4,000.
        assertEquals(ask(4, 500, 1000).retryAfterMillis(), 3000);
        assertFalse(ask(5, 500, 3499).isGranted());
        assertTrue(ask(6, 500, 3500).isGranted());
    }

    /** Guards against numbers that overflow, add units, or block an organisation for longer than a window. */
    @Test
    public void forgedNumbersAreBounded() {
        ToLongFunction<Long> count = stated -> UsageUnits.count(CAP, OptionalLong.of(stated));
        assertEquals(count.applyAsLong(-5274L), 1);
        assertEquals(count.applyAsLong(0L), 1);
        assertEquals(count.applyAsLong(Long.MAX_VALUE), 9000);
        assertEquals(UsageUnits.count(CAP, OptionalLong.empty()), 200);
        UsageCap requests = new UsageCap(UsageCap.Unit.REQUESTS, 1, 1, 200);
        assertEquals(UsageUnits.count(requests, OptionalLong.of(5274)), 1);
        ask(1, 1, 0);
        assertEquals(ask(2, Long.MIN_VALUE, 1000).grantedUnits(), 1);
        assertEquals(ask(3, Long.MAX_VALUE, 2000).grantedUnits(), 9000);
        owner.giveBack(new MessageId("n", 1, 50), "o", Long.MIN_VALUE, 2000);
        assertTrue(ask(4, 1, 10_100).isGranted());
    }

    /** Guards against an owner that grants the cap again after a pause or after another node owned the organisation. */
    @Test
    public void anOwnerStartsWithAQuarterOfASecondAfterAPauseAndAfterAnotherOwner() {
        ask(1, 1, 0);
        owner.clear();
        assertTrue(ask(2, 100, 10_000).isGranted());
        assertTrue(ask(3, 150, 10_000).isGranted());
        assertFalse(ask(4, 10, 10_000).isGranted());
        owner.retain(organisation -> false);
        assertEquals(owner.countOrganisations(), 0);
        owner.giveBack(new MessageId("n", 1, 50), "o", 1000, 10_000);
        assertTrue(ask(5, 250, 10_000).isGranted());
        assertFalse(ask(6, 10, 10_000).isGranted());
    }

    /** Guards against an organisation that uses a lowered cap's old burst, also from units that were granted ahead. */
    @Test
    public void aLoweredCapTakesEffectAtOnce() {
        UsageCap lowered = new UsageCap(UsageCap.Unit.TOKENS, 100, 100, 200);
        ask(1, 1, 0);
        assertFalse(owner.decide(request(2, "o", 101, 0), lowered, 1, 5000).isGranted()
                && owner.decide(request(3, "o", 100, 0), lowered, 1, 5000).isGranted());
        NodeUsage usage = NodeUsage.create(CAP, 10, 0, 0);
        usage.recordGrant(100, 500, 0);
        assertTrue(usage.tryUseAhead(100, 10));
        usage.setLimits(lowered, 10, 20);
        assertFalse(usage.tryUseAhead(100, 20));
        assertEquals(usage.takeUnusable(20), 400);
    }

    /** Guards against units ahead that take the room of other nodes when the burst is short, and that are never returned. */
    @Test
    public void unitsAheadAreGrantedFromAmpleRoomAndReturnedWhenUnused() {
        ask(1, 1, 0);
        assertEquals(owner.decide(request(2, "o", 100, 300), CAP, 1, 5000).grantedUnits(), 400);
        assertEquals(owner.decide(request(3, "o", 100, 300), CAP, 1, 5000).grantedUnits(), 100);
        NodeUsage usage = NodeUsage.create(CAP, 10, 0, 0);
        assertEquals(usage.getAheadToRequest(100, 0), 0);
        usage.recordGrant(1000, 0, 0);
        assertEquals(usage.getAheadToRequest(100, 0), 500);
        usage.recordGrant(100, 500, 0);
        assertEquals(usage.takeUnusable(999), 0);
        assertFalse(usage.tryUseAhead(100, 1000));
        assertEquals(usage.takeUnusable(1000), 500);
    }

    private UsageGrant ask(long id, long units, long nowMillis) {
        return owner.decide(request(id, "o", units, 0), CAP, 1, nowMillis);
    }

    static UsageOwner.UsageRequest request(long id, String organisation, long units, long ahead) {
        return new UsageOwner.UsageRequest(new MessageId("n", 1, id), organisation, units, ahead);
    }
}
