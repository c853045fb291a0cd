package org.magnoliavane.emulator.engine;

import java.io.IOException;
import java.util.Map;
import java.util.function.Consumer;

import org.magnoliavane.emulator.http.Timers;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.http.HttpRequest;
import org.magnoliavane.http.ResponseListener;

/**
 * Loads the weights of models from the weight store, or waits for a fixed time when there is none.
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
     * Starts to load.
     *
     * @param ended receives whether the weights arrived whole
     */
    void load(String model, String version, Consumer<Boolean> ended) {
        if (store == null) {
            timers.schedule(Math.max(1, fixedMillis), () -> ended.accept(true));
            return;
        }
        int colon = store.lastIndexOf(':');
        String path = "/v1/weights/" + model + "/" + (version == null ? "latest" : version);
        String host = store.substring(0, colon);
        int port = Integer.parseInt(store.substring(colon + 1));
        http.stream(HttpRequest.of("GET", host, port, path), new DiscardingListener(ended));
    }

    /** Drops the bytes of the weights, which may be many. */
    private static final class DiscardingListener implements ResponseListener {
        private final Consumer<Boolean> endListener;
        private boolean accepted;

        DiscardingListener(Consumer<Boolean> ended) {
            this.endListener = ended;
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
