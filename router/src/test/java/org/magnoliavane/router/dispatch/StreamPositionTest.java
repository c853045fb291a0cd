package org.magnoliavane.router.dispatch;

import java.util.Optional;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class StreamPositionTest {
    @Test
    public void aStreamMayBeginWithAnyEvent() {
        assertTrue(advance(StreamPosition.after(Optional.empty()), "7"));
    }

    @Test
    public void idsIncreaseWithinAStream() {
        StreamPosition position = StreamPosition.after(Optional.empty());
        assertTrue(advance(position, "1"));
        assertTrue(advance(position, "2"));
        assertFalse(advance(position, "2"));
        assertFalse(advance(position, "1"));
        assertEquals(position.findLastId(), Optional.of("2"));
    }

    /** Guards against gaps and repeats where another worker continues a stream. */
    @Test
    public void anotherWorkerContinuesWithTheNextEvent() {
        StreamPosition position = StreamPosition.after(Optional.of("4"));
        assertFalse(resume(position, "6"));
        assertFalse(resume(position, "4"));
        assertFalse(resume(position, "1"));
        assertTrue(resume(position, "5"));
        assertEquals(position.findLastId(), Optional.of("5"));
    }

    @Test
    public void anotherWorkerMaySkipNumbersIfTheStreamHasDoneSo() {
        StreamPosition position = StreamPosition.after(Optional.empty());
        assertTrue(advance(position, "3"));
        assertTrue(advance(position, "8"));
        assertFalse(resume(position, "8"));
        assertTrue(resume(position, "11"));
    }

    @Test
    public void eventsOfAContinuationHaveIds() {
        StreamPosition position = StreamPosition.after(Optional.of("4"));
        assertFalse(position.tryContinue(Optional.empty(), true));
        assertFalse(resume(position, "error"));
        assertTrue(resume(position, "5"));
        assertFalse(position.tryContinue(Optional.empty(), false));
        assertTrue(position.tryContinue(Optional.of("6"), false));
    }

    @Test
    public void thePositionIsUnknownAfterAnEventWithoutId() {
        StreamPosition position = StreamPosition.after(Optional.empty());
        assertFalse(position.isKnown());
        assertTrue(advance(position, "1"));
        assertTrue(position.isKnown());
        assertTrue(position.tryAdvance(Optional.empty()));
        assertFalse(position.isKnown());
        assertTrue(advance(position, "2"));
        assertTrue(position.isKnown());
    }

    private static boolean advance(StreamPosition position, String id) {
        return position.tryAdvance(Optional.of(id));
    }

    private static boolean resume(StreamPosition position, String id) {
        return position.tryContinue(Optional.of(id), true);
    }
}
