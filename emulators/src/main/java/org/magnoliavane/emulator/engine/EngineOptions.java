package org.magnoliavane.emulator.engine;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.emulator.ServerOptions;

/**
 * Options of the engine emulator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class EngineOptions extends ServerOptions {
    @Parameter(names = "--role", description = "Role at start: prefill or decode")
    private String role = "prefill";

    @Parameter(names = "--models", description = "Models loaded at start, separated by commas")
    private List<String> models = List.of("model-a");

    @Parameter(names = "--pieces", description = "Memory in pieces")
    private int pieces = 64;

    @Parameter(names = "--piece-tokens", description = "Tokens per piece")
    private int pieceTokens = 2048;

    @Parameter(names = "--prefill-tokens-per-second", description = "Rate of prefills, in prompt tokens per second")
    private double prefillTokensPerSecond = 10_000;

    @Parameter(names = "--prefill-fixed-millis", description = "Fixed time of a prefill, in milliseconds")
    private double prefillFixedMillis = 5;

    @Parameter(
            names = "--prefill-lapse-millis",
            description = "Time for which a finished prefill is kept, in milliseconds")
    private long prefillRetainMillis = 800;

    @Parameter(names = "--cache-pieces", description = "Size of the prefix cache in pieces, in addition to --pieces")
    private int cachePieces = 64;

    @Parameter(names = "--cache-event-delay-millis", description = "Delay of cache events, in milliseconds")
    private long cacheEventDelayMillis = 200;

    @Parameter(names = "--cache-event-drop-share", description = "Share of cache events that are dropped, 0 to 1")
    private double cacheEventDropShare;

    @Parameter(names = "--link-tokens-per-second", description = "Rate of the outgoing link, in tokens per second")
    private double linkTokensPerSecond = 200_000;

    @Parameter(names = "--step-base-millis", description = "Base time of a decode step, in milliseconds")
    private double stepBaseMillis = 20;

    @Parameter(
            names = "--step-stream-millis",
            description = "Additional time of a decode step per stream, in milliseconds")
    private double stepStreamMillis = 0.5;

    @Parameter(names = "--max-running", description = "Maximum streams in a decode step; others are queued")
    private int maxRunning = 64;

    @Parameter(
            names = "--finished-retain-millis",
            description = "Time for which a stream can be resumed after it was read to its end, in milliseconds")
    private long finishedRetainMillis = 10_000;

    @Parameter(
            names = "--keep-alive-millis",
            description = "Time without output after which a comment line is sent, in milliseconds")
    private long keepAliveMillis = 500;

    @Parameter(names = "--load-lag-millis", description = "Age of load reports, in milliseconds")
    private long loadLagMillis = 200;

    @Parameter(
            names = "--check-fencing",
            arity = 1,
            description = "Whether orders with an outdated fencing token are rejected")
    private boolean checkFencing = true;

    @Parameter(
            names = "--weights",
            description = "HOST:PORT of the weight store; without it, loading takes --model-load-millis")
    private String weightStore;

    @Parameter(
            names = "--model-load-millis",
            description = "Time to load a model without a weight store, in milliseconds")
    private long modelLoadMillis = 1000;

    @Parameter(names = "--crash-marker", description = "Text in a prompt that crashes the engine")
    private String crashMarker = "";

    @Parameter(names = "--crash-phase", description = "Phase whose start crashes the engine: prefill or decode")
    private String crashPhase = "prefill";

    @Parameter(names = "--seed", description = "Seed of the random number generator")
    private long seed = 1;

    WorkerRole getRole() {
        return parseRole("--role", role);
    }

    List<String> getModels() {
        return models;
    }

    int getPieces() {
        return pieces;
    }

    int getPieceTokens() {
        return pieceTokens;
    }

    double getPrefillTokensPerSecond() {
        return prefillTokensPerSecond;
    }

    long getPrefillFixedMicros() {
        return Micros.ofMillis(prefillFixedMillis);
    }

    long getPrefillRetainMillis() {
        return prefillRetainMillis;
    }

    int getCachePieces() {
        return cachePieces;
    }

    long getCacheEventDelayMicros() {
        return Micros.ofMillis(cacheEventDelayMillis);
    }

    double getCacheEventDropShare() {
        return cacheEventDropShare;
    }

    double getLinkTokensPerSecond() {
        return linkTokensPerSecond;
    }

    long getStepBaseMicros() {
        return Micros.ofMillis(stepBaseMillis);
    }

    long getStepStreamMicros() {
        return Micros.ofMillis(stepStreamMillis);
    }

    int getMaxRunning() {
        return maxRunning;
    }

    long getFinishedRetainMicros() {
        return Micros.ofMillis(finishedRetainMillis);
    }

    long getKeepAliveMicros() {
        return Micros.ofMillis(keepAliveMillis);
    }

    long getLoadLagMicros() {
        return Micros.ofMillis(loadLagMillis);
    }

    boolean isFencingChecked() {
        return checkFencing;
    }

    String getWeightStore() {
        return weightStore;
    }

    long getModelLoadMillis() {
        return modelLoadMillis;
    }

    String getCrashMarker() {
        return crashMarker;
    }

    WorkerRole getCrashPhase() {
        return parseRole("--crash-phase", crashPhase);
    }

    long getSeed() {
        return seed;
    }

    @Override
    protected void check() {
        super.check();
        getRole();
        getCrashPhase();
        checkRange("--pieces", pieces, 1, 1_000_000);
        checkRange("--piece-tokens", pieceTokens, 1, 1_000_000);
        checkRange("--prefill-tokens-per-second", prefillTokensPerSecond, 1, 1e9);
        checkRange("--prefill-fixed-millis", prefillFixedMillis, 0, 1e6);
        checkRange("--prefill-lapse-millis", prefillRetainMillis, 1, 1e6);
        checkRange("--cache-pieces", cachePieces, 0, 1_000_000);
        checkRange("--cache-event-delay-millis", cacheEventDelayMillis, 0, 1e6);
        checkRange("--cache-event-drop-share", cacheEventDropShare, 0, 1);
        checkRange("--link-tokens-per-second", linkTokensPerSecond, 1, 1e9);
        checkRange("--step-base-millis", stepBaseMillis, 0.01, 1e6);
        checkRange("--step-stream-millis", stepStreamMillis, 0, 1e6);
        checkRange("--max-running", maxRunning, 1, 100_000);
        checkRange("--finished-retain-millis", finishedRetainMillis, 0, 1e7);
        checkRange("--keep-alive-millis", keepAliveMillis, 1, 1e6);
        checkRange("--load-lag-millis", loadLagMillis, 0, 1e6);
        checkRange("--model-load-millis", modelLoadMillis, 0, 1e7);
        if (weightStore != null && !weightStore.matches("[^:]+:\\d{1,5}")) {
            throw new ParameterException("--weights must be HOST:PORT, got " + weightStore);
        }
    }

    private static WorkerRole parseRole(String name, String text) {
        return WorkerRole.parse(text)
                .filter(parsed -> parsed != WorkerRole.PLAIN)
                .orElseThrow(() -> new ParameterException(name + " must be prefill or decode, got " + text));
    }
}
