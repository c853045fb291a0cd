package org.magnoliavane.node.dispatch;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class StreamPositionTest {
    private static final String ATTEMPT = "0123456789abcdef0123456789abcdef-2";

    @Test
    public void theStringFormIsParsed() {
        StreamPosition position = new StreamPosition("vm-7.a", ATTEMPT, 41);
        assertEquals(StreamPosition.parse(position.toString()).orElseThrow(), position);
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {""},
            {"vm-7/" + ATTEMPT},
            {"vm-7/" + ATTEMPT + "/-1"},
            {"vm-7/" + ATTEMPT + "/01"},
            {"vm-7/" + ATTEMPT + "/1/2"},
            {"vm-7/" + ATTEMPT + "/9999999999"},
            {"vm-7/" + ATTEMPT.toUpperCase(java.util.Locale.ROOT) + "/1"},
            {"../" + ATTEMPT + "?owner=x/1"},
        };
    }

    /** Guards against path traversal to other resources of the engine. */
    @Test(dataProvider = "malformed")
    public void aMalformedIdIsRejected(String text) {
        assertTrue(StreamPosition.parse(text).isEmpty(), text);
    }
}
