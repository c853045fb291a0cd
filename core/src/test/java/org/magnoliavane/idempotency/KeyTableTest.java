package org.magnoliavane.idempotency;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.magnoliavane.NodeRun;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

public class KeyTableTest {
    private static final NodeRun RUN = new NodeRun("entry-1", 0x5f3a);

    @Test
    public void aKeyNamesItsRunOnlyWhenItBeginsWithAToken() {
        assertEquals(key("entry-1.5f3a.77/u").findToken(), Optional.of(new RunToken(RUN, 77)));
        for (String text : List.of("entry-1.5f3a.77", "entry-1.5f3a.77/", "booking/7", "entry-1.5f3a/u", ".1.2/u")) {
            assertTrue(key(text).findToken().isEmpty(), text);
        }
        assertEquals(RunToken.parse(new RunToken(RUN, 77).toString()).orElseThrow(), new RunToken(RUN, 77));
    }

    @Test
    public void twoCallersMayUseTheSameText() {
        assertNotEquals(new IdempotencyKey("a", "1:b").toDigest(), new IdempotencyKey("a1", ":b").toDigest());
        KeyTable<String> table = new KeyTable<>(10, 1 << 20, 10);
        assertEquals(admit(table, new IdempotencyKey("a", "k"), 0, 1), KeyAdmission.NEW);
        assertEquals(admit(table, new IdempotencyKey("b", "k"), 0, 1), KeyAdmission.NEW);
    }

    /** Guards against a key that is evicted while its token is still accepted, and then runs a second time. */
    @Test
    public void aKeyOutlivesItsToken() {
        KeyTable<String> table = new KeyTable<>(10, 1 << 20, 10);
        assertEquals(admit(table, key("k"), 0, 0), KeyAdmission.NEW);
        table.complete(key("k"), 5);
        assertEquals(table.lookUp(key("k"), "h", KeyTable.TOKEN_LIFETIME_MILLIS), KeyAdmission.KNOWN);
        assertEquals(table.lookUp(key("k"), "other", KeyTable.TOKEN_LIFETIME_MILLIS), KeyAdmission.CONFLICT);
        assertEquals(table.lookUp(key("k"), "h", KeyTable.RETENTION_MILLIS + 1), KeyAdmission.ABSENT);
        assertEquals(table.getBytes(), 0);
    }

    /** Guards against a key that was refused as not run and runs when a late copy of it finds room. */
    @Test
    public void aKeyRefusedForLackOfRoomIsRefusedForGood() {
        KeyTable<String> table = new KeyTable<>(1, 1 << 20, 10);
        assertEquals(admit(table, key("first"), 1000, 1500), KeyAdmission.NEW);
        table.complete(key("first"), 0);
        assertEquals(admit(table, key("second"), 2000, 2500), KeyAdmission.FULL);
        long later = KeyTable.RETENTION_MILLIS + 2000;
        assertEquals(admit(table, key("second"), 2000, later), KeyAdmission.FULL);
        assertEquals(admit(table, key("third"), 3000, later), KeyAdmission.NEW);
    }

    @Test
    public void answersThatAreStillToComeCountAgainstTheMemory() {
        KeyTable<String> table = new KeyTable<>(100, 2 * KeyTable.ENTRY_BYTES + 150, 100);
        assertEquals(admit(table, key("a"), 1, 1), KeyAdmission.NEW);
        assertEquals(admit(table, key("b"), 1, 1), KeyAdmission.FULL);
    }

    /** Guards against two nodes that both believe that they were first. */
    @Test
    public void theFirstClaimDecidesAndUnreadableRecordsAreSkipped() {
        ClaimTable fold = new ClaimTable();
        NodeRun other = new NodeRun("entry-2", 1);
        fold.applyRecord(3, "{\"run\":7}".getBytes(StandardCharsets.UTF_8));
        fold.applyRecord(4, "no claim".getBytes(StandardCharsets.UTF_8));
        assertEquals(fold.applyRecord(5, ClaimTable.toRecord(RUN, List.of("x", "y"))), List.of("x", "y"));
        assertEquals(fold.applyRecord(6, ClaimTable.toRecord(other, List.of("y", "z"))), List.of("z"));
        assertEquals(fold.find("y").orElseThrow(), new Claim(RUN, 5));
        assertEquals(fold.getUnreadableCount(), 2);
        fold.removeBefore(6);
        assertEquals(fold.getSize(), 1);
    }

    private static IdempotencyKey key(String text) {
        return new IdempotencyKey("caller", text);
    }

    private static KeyAdmission admit(KeyTable<String> table, IdempotencyKey key, long issued, long now) {
        return table.admit(key, "h", issued, now, () -> "value");
    }
}
