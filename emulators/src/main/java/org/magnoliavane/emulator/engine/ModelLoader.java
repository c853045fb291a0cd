package org.magnoliavane.emulator.engine;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;

import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;

/**
 * Loads the weights of models from the weight store, or simulates a load of fixed duration when there is no store.
 *
 * <p>Thread-safe.
 */
final class ModelLoader {
    private static final int OK = 200;

    private final HttpClient http;
    private final Timers timers;
    private final String store;
    private final long fixedMillis;

    ModelLoader(HttpClient http, Timers timers, String store, long fixedMillis) {
        this.http = http;
        this.timers = timers;
        this.store = store;
        this.fixedMillis = fixedMillis;
    }

    /**
     * Starts to load a model.
     *
     * @param model the model
     * @param version the version; null means the latest
     * @param endListener receives true when the weights arrived completely, false when the load failed
     */
    void load(String model, String version, Consumer<Boolean> endListener) {
        if (store == null) {
            timers.schedule(Math.max(1, fixedMillis), () -> endListener.accept(true));
            return;
        }
        int colon = store.lastIndexOf(':');
        String path = "/v1/weights/" + model + "/" + (version == null ? "latest" : version);
        String host = store.substring(0, colon);
        int port = Integer.parseInt(store.substring(colon + 1));
        http.stream(HttpRequest.of("GET", host, port, path), new DiscardingListener(endListener));
    }

    /** Discards the weights as they arrive, because they may be too large to buffer. */
    private static final class DiscardingListener implements ResponseListener {
        private final Consumer<Boolean> endListener;
        private boolean accepted;

        DiscardingListener(Consumer<Boolean> endListener) {
            this.endListener = endListener;
        }

        @Override
        public void onHead(int status, Map<String, String> headers) {
            accepted = status == OK;
        }

        @Override
        public void onBytes(byte[] bytes) {
            // The content of the weights has no effect on the emulated model.
        }

        @Override
        public void onEnd() {
            endListener.accept(accepted);
        }

        @Override
        public void onFailure(IOException cause) {
            endListener.accept(false);
        }
    }
}
