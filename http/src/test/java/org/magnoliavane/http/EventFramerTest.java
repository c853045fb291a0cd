package org.magnoliavane.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
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
        List<EventFramer.Event> events = framer.feed("\nid: 2\n".getBytes(StandardCharsets.UTF_8));
        assertEquals(toText(events), "id: 1\ndata: ab\n\n");
        assertEquals(events.get(0).id(), Optional.of("1"));
        assertEquals(framer.getPartialBytes(), 6);
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
        assertEquals(ids("id: 1\ndata: a\n\nid: 2\ndata: b\n"), List.of(Optional.of("1")));
        assertEquals(ids("\nid: 3\n\n"), List.of(Optional.of("2"), Optional.of("3")));
    }

    @Test
    public void anEventWithoutIdHasNotThatOfTheEventBefore() {
        assertEquals(ids("id: 1\ndata: a\n\ndata: b\n\n"), List.of(Optional.of("1"), Optional.empty()));
    }

    @Test
    public void commentsAndEmptyLinesAreNoEventsOfTheStream() {
        List<EventFramer.Event> events =
                framer.feed(": ping\n\n\nid: 1\ndata: a\n\n: b\ndata: c\n\n".getBytes(StandardCharsets.UTF_8));
        assertEquals(events.stream().map(EventFramer.Event::comment).toList(), List.of(true, true, false, false));
    }

    private List<Optional<String>> ids(String text) {
        return framer.feed(text.getBytes(StandardCharsets.UTF_8)).stream()
                .map(EventFramer.Event::id)
                .toList();
    }

    private String feed(String text) {
        return toText(framer.feed(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static String toText(List<EventFramer.Event> events) {
        StringBuilder text = new StringBuilder();
        events.forEach(e -> text.append(new String(e.bytes(), StandardCharsets.UTF_8)));
        return text.toString();
    }
}
