package org.magnoliavane.router.peer;

import java.util.List;

import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicUpdate;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class PeerStoreUpdatesTest {

    @Test
    public void anUpdateIsUnchangedByItsTransfer() {
        for (Topic topic : Topic.values()) {
            KeyedRecord record = new KeyedRecord("w1", new byte[] {1, 2}, 7);
            TopicUpdate update = new TopicUpdate(topic, 5, 9, List.of(record), 250, 3);
            TopicUpdate received = PeerStoreUpdates.fromMessage(PeerStoreUpdates.toMessage(update));
            assertEquals(received.topic(), topic);
            assertEquals(
                    List.of(received.from(), received.to(), received.ageMillis(), received.era()),
                    List.of(5L, 9L, 250L, 3L));
            assertEquals(received.records().get(0).key(), "w1");
            assertEquals(received.records().get(0).value(), new byte[] {1, 2});
            assertEquals(received.records().get(0).offset(), 7);
        }
    }

    /** Pattern: a configuration with 1,400 routes. Nodes that lack it must notice the gap and read the store. */
    @Test
    public void recordsThatDoNotFitIntoADatagramBecomeAGap() {
        KeyedRecord configuration = new KeyedRecord("config", new byte[280_000], 8);
        TopicUpdate update = new TopicUpdate(Topic.CONFIGURATION, 8, 9, List.of(configuration), 0, 0);
        TopicUpdate received = PeerStoreUpdates.fromMessage(PeerStoreUpdates.toMessage(update));
        assertEquals(received.records(), List.of());
        assertEquals(received.from(), 9);
        assertEquals(received.to(), 9);
    }
}
