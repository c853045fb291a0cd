package org.magnoliavane.router.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.magnoliavane.protocol.generated.TopicRecord;
import org.magnoliavane.router.store.KeyedRecord;
import org.magnoliavane.router.store.Topic;
import org.magnoliavane.router.store.TopicUpdate;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

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

    /** Guards against each node reading a configuration of 40 routes from the store after each change. */
    @Test
    public void aConfigurationOfFortyRoutesFitsIntoADatagram() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < 40; i++) {
            text.append("{\"name\":\"r-").append(i * 7919).append("\",\"host\":\"h.example\",\"pathPrefix\":\"/p");
            text.append(i)
                    .append("/\",\"type\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":808,\"priority\":0,")
                    .append(
                            "\"service\":\"s\",\"maxAttempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true}");
        }
        byte[] value = text.toString().getBytes(StandardCharsets.UTF_8);
        assertTrue(value.length > 8000, "value of " + value.length + " bytes");
        KeyedRecord record = new KeyedRecord("config", value, 8);
        TopicUpdate update = new TopicUpdate(Topic.CONFIGURATION, 8, 9, List.of(record), 0, 0);
        TopicUpdate received = PeerStoreUpdates.fromMessage(PeerStoreUpdates.toMessage(update));
        assertEquals(received.from(), 8);
        assertEquals(received.records().get(0).value(), value);
    }

    /** Guards against a forged or damaged size that would allocate memory without bound. */
    @Test
    public void aRecordThatStatesAWrongSizeIsRefused() {
        TopicRecord message = RecordCompression.toMessage(new KeyedRecord("config", new byte[5000], 8));
        for (int size : new int[] {6000, Integer.MAX_VALUE, -1}) {
            TopicRecord forged = message.toBuilder().setInflatedBytes(size).build();
            assertThrows(IllegalArgumentException.class, () -> RecordCompression.fromMessage(forged));
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
