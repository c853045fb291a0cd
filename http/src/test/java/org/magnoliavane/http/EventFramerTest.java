package org.magnoliavane.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class EventFramerTest {
    private EventFramer framer;

    @BeforeMethod
    public void createFramer() {
        framer = new EventFramer();
    }

    @Test
    public void bytesAreBufferedUntilTheirEventIsComplete() {
        assertEquals(feed("id: 1\ndata: a"), "");
        assertTrue(framer.hasPartialEvent());
        assertEquals(feed("b\n"), "");
        assertEquals(feed("\nid: 2\n"), "id: 1\ndata: ab\n\n");
        assertEquals(framer.findLastId(), Optional.of("1"));
    }

    @Test
    public void bytesArePassedOnUnchanged() {
        String events = "id:7\r\nversion: 3\r\ndata:  x \r\n\r\n: comment\n\ndata: y\n\n";
        StringBuilder all = new StringBuilder();
        for (char c : events.toCharArray()) {
            all.append(feed(String.valueOf(c)));
        }
        assertEquals(all.toString(), events);
        assertFalse(framer.hasPartialEvent());
    }

    @Test
    public void theIdOfAPartialEventIsIgnored() {
        feed("id: 1\ndata: a\n\nid: 2\ndata: b\n");
        assertEquals(framer.findLastId(), Optional.of("1"));
        framer.discardPartialEvent();
        assertEquals(feed("id: 3\n\n"), "id: 3\n\n");
        assertEquals(framer.findLastId(), Optional.of("3"));
    }

    @Test
    public void anEventWithoutIdKeepsTheLastId() {
        feed("id: 1\ndata: a\n\ndata: b\n\n");
        assertEquals(framer.findLastId(), Optional.of("1"));
    }

    private String feed(String text) {
        return new String(framer.feed(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
    }
}
