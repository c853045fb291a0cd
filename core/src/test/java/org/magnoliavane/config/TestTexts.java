package org.magnoliavane.config;

import net.openhft.hashing.LongHashFunction;

/** Creates configuration texts for tests. */
final class TestTexts {
    private TestTexts() {}

    static String minimal() {
        return "[classes.standard]\nmicros_per_token = 10\nttft_millis = 500\n"
                + "[services.bookings]\nkind = \"plain\"\nroutes = [{method = \"POST\", path = \"/bookings\"}]\n"
                + model("chat", "m1")
                + caller("ann", "k1", "[]");
    }

    static String model(String name, String model) {
        return "[services." + name + "]\nkind = \"model\"\nmodels = [\"" + model + "\"]\ndecode_pieces = 40\n"
                + "prefill_tokens_per_second = 16000\ndecode_step_millis = 30\ntransfer_tokens_per_second = 80000\n";
    }

    static String caller(String name, String key, String services) {
        String hash =
                String.format("%016x", LongHashFunction.xx().hashChars(key)).repeat(4);
        return "[callers." + name + "]\nkey_sha256 = \"" + hash + "\"\nservices = " + services + "\n";
    }
}
