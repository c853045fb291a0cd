package org.magnoliavane.emulator.vm;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.EmulatorClient;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public class VmListEmulatorTest {
    private static final VmList ONE = new VmList(List.of(new Vm("a", "127.0.0.1", "z", "live", Map.of())));
    private static final VmList NONE = new VmList(List.of());

    /** Guards against a lag that is measured from the read instead of the change. */
    @Test
    public void aChangeIsPublishedAfterTheLag() {
        DelayedVmList list = new DelayedVmList(NONE, 500);
        list.replace(ONE, 1000);
        list.replace(NONE, 1200);
        assertEquals(list.getPublished(1499), NONE);
        assertEquals(list.getPublished(1500), ONE);
        assertEquals(list.getPublished(1699), ONE);
        assertEquals(list.getPublished(1700), NONE);
        assertEquals(list.getPublished(9000), NONE);
    }

    @Test
    public void oneEntryCanBeChangedAndRemoved() throws Exception {
        try (VmListEmulator vms = VmListEmulator.start("--lag-millis", "0");
                EmulatorClient client = new EmulatorClient()) {
            client.fetchJson(
                    vms, "PUT", "/control/vms", "{\"vms\":[{\"id\":\"a\",\"tags\":{\"port\":1}},{\"id\":\"b\"}]}");
            client.fetchJson(vms, "PUT", "/control/vms/a", "{\"address\":\"127.0.0.2\",\"state\":\"leaving\"}");
            client.fetchJson(vms, "DELETE", "/control/vms/b", "");
            JsonNode seen = client.fetchJson(vms, "GET", "/v1/vms", "").get("vms");
            assertEquals(seen.size(), 1);
            assertEquals(seen.get(0).get("state").asText(), "leaving");
        }
    }
}
