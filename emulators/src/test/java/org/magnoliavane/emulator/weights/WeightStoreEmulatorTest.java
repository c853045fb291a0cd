package org.magnoliavane.emulator.weights;

import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliavane.emulator.EmulatorClient;
import org.magnoliavane.emulator.engine.EngineEmulator;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class WeightStoreEmulatorTest {

    @Test
    public void readersShareTheBandwidthEvenly() {
        SharedBandwidth<String> rate = new SharedBandwidth<>(1000);
        rate.add("a", 1000);
        rate.add("b", 1000);
        rate.add("c", 10);
        assertEquals(rate.distribute(100), Map.of("a", 45L, "b", 45L, "c", 10L));
        assertEquals(rate.distribute(100), Map.of("a", 50L, "b", 50L));
        assertEquals(rate.distribute(10_000), Map.of("a", 905L, "b", 905L));
        assertEquals(rate.distribute(100), Map.of());
    }

    /** Guards against an engine that serves a model before its weights have arrived. */
    @Test
    public void anEngineServesAModelOnceItsWeightsHaveArrived() throws Exception {
        try (WeightStoreEmulator store =
                        WeightStoreEmulator.start("--bytes", "300000", "--bytes-per-second", "1000000");
                EngineEmulator engine =
                        EngineEmulator.start("--weights", "127.0.0.1:" + store.getPort(), "--load-lag-millis", "0");
                EmulatorClient client = new EmulatorClient()) {
            client.fetchJson(
                    engine, "POST", "/v1/orders", "{\"kind\":\"load_model\",\"model\":\"m2\",\"version\":\"3\"}");
            Thread.sleep(100);
            assertEquals(
                    client.fetchJson(engine, "GET", "/v1/load", "")
                            .get("loading")
                            .size(),
                    1);
            JsonNode load = client.fetchJson(engine, "GET", "/v1/load", "");
            for (int i = 0; i < 100 && load.get("loading").size() > 0; i++) {
                Thread.sleep(20);
                load = client.fetchJson(engine, "GET", "/v1/load", "");
            }
            assertEquals(load.get("versions").get("m2").asText(), "3");
            assertTrue(load.get("models").toString().contains("m2"));
        }
    }
}
