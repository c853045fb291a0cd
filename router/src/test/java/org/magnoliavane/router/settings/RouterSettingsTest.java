package org.magnoliavane.router.settings;

import java.util.List;

import io.vavr.control.Either;
import org.magnoliavane.config.TextProblem;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RouterSettingsTest {
    private static final String VALID = "future = 1\n[node]\nname = \"edge-isar-a-1\"\nzone = \"isar-a\"\n"
            + "[listen]\ncallers = \"127.0.0.1:8149\"\nreadiness = \"127.0.0.1:8141\"\ndirectory = \"127.0.0.1:8143\"\n"
            + "peer_port = 7380\nmetrics_port = 9464\n[store]\naddress = \"127.0.0.1:8142\"\n"
            + "[retries]\nratio = 0.2\nallowance = 54\nwindow_seconds = 10\n"
            + "[timing]\naddress_lifetime_seconds = 2\nstop_grace_seconds = 8\ndrain_millis = 2000\nconfiguration_millis = 2000\ncontact_millis = 3000\n"
            + "lapse_grace_seconds = 2\nlisting_renewal_millis = 1200\n";

    @Test
    public void validSettingsAreReadAndUnknownKeysAreIgnored() {
        RouterSettings settings = RouterSettings.parse(VALID).get();
        assertEquals(settings.name(), "edge-isar-a-1");
        assertEquals(settings.callers(), new HostPort("127.0.0.1", 8149));
        assertEquals(settings.stopGraceMillis(), 8000);
        assertEquals(settings.retryWindowMillis(), 10_000);
        assertEquals(settings.drainMillis(), 2000);
        assertEquals(settings.configurationMillis(), 2000);
        assertEquals(settings.contactMillis(), 3000);
        assertEquals(settings.listingGraceMillis(), 2000);
        assertEquals(settings.listingRenewalMillis(), 1200);
        assertFalse(settings.firstStart());
    }

    /** Guards against a node whose retries are limited for a window although no earlier run of it can have sent any. */
    @Test
    public void theFirstStartOfTheSystemIsRead() {
        assertTrue(RouterSettings.parse(VALID.replace("[node]\n", "[node]\nfirst_start = true\n"))
                .get()
                .firstStart());
    }

    @Test
    public void everyProblemIsReportedWithItsKeyAndRemedy() {
        Either<List<TextProblem>, RouterSettings> read =
                RouterSettings.parse(VALID.replace("\"127.0.0.1:8149\"", "\"front\"")
                        .replace("peer_port = 7380\n", "")
                        .replace("ratio = 0.2", "ratio = -1"));
        List<TextProblem> problems = read.getLeft();
        assertEquals(problems.size(), 3, problems.toString());
        assertTrue(problems.toString().contains("listen.callers"), problems.toString());
        assertTrue(problems.toString().contains("listen.peer_port"), problems.toString());
        assertTrue(problems.toString().contains("retries.ratio"), problems.toString());
        problems.forEach(p -> assertTrue(!p.remedy().isEmpty()));
    }

    @Test
    public void anAddressIsAnIpAddressAndAPort() {
        assertTrue(HostPort.parse("127.0.0.1:1").isPresent());
        assertTrue(HostPort.parse("localhost:1").isEmpty());
        assertTrue(HostPort.parse("127.0.0.1:0").isEmpty());
        assertTrue(HostPort.parse("127.0.0.1:65536").isEmpty());
        assertTrue(HostPort.parse("127.0.0.1").isEmpty());
    }
}
