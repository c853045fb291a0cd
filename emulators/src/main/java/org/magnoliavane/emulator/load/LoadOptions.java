package org.magnoliavane.emulator.load;

import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import org.magnoliavane.emulator.CommandOptions;

/**
 * Options of the load generator.
 *
 * <p>Not thread-safe; options are read once at startup.
 */
public final class LoadOptions extends CommandOptions {
    @Parameter(
            names = "--nodes",
            description = "URLs of nodes, separated by commas; others are discovered through /v1/addresses")
    private List<String> nodes = List.of();

    @Parameter(names = "--zone", description = "Availability zone of the callers; none if absent")
    private String zone = "";

    @Parameter(names = "--key", description = "Bearer key of the callers")
    private String key = "";

    @Parameter(names = "--rate", description = "Arrivals per second, as a Poisson process")
    private double rate = 10;

    @Parameter(names = "--count", description = "Number of requests")
    private int count = 100;

    @Parameter(names = "--seed", description = "Seed of the random choices: arrivals, lengths, classes and nodes")
    private long seed = 1;

    @Parameter(names = "--kind", description = "Kind of requests: chat, booking or mixed (equal shares)")
    private String kind = "chat";

    @Parameter(names = "--model", description = "Model of the chats")
    private String model = "model-a";

    @Parameter(names = "--classes", description = "Class mix as NAME=WEIGHT,…; absent sends no service_tier")
    private List<String> classes = List.of();

    @Parameter(
            names = "--deadline-millis",
            description = "Value of the deadline header of the chats, in milliseconds; 0 sends no header")
    private long deadlineMillis;

    @Parameter(names = "--prompt-median-tokens", description = "Median of the prompt lengths in tokens (log-normal)")
    private int promptMedianTokens = 400;

    @Parameter(names = "--prompt-sigma", description = "Standard deviation of the logarithm of the prompt lengths")
    private double promptSigma = 1.2;

    @Parameter(names = "--prompt-max-tokens", description = "Maximum prompt length in tokens")
    private int promptMaxTokens = 30_000;

    @Parameter(names = "--output-median-tokens", description = "Median of the output lengths in tokens (log-normal)")
    private int outputMedianTokens = 60;

    @Parameter(names = "--output-sigma", description = "Standard deviation of the logarithm of the output lengths")
    private double outputSigma = 0.7;

    @Parameter(names = "--max-tokens", description = "Value of max_tokens of the chats and maximum output length")
    private int maxTokens = 512;

    @Parameter(names = "--prefix-share", description = "Share of chats that begin with a shared prefix, 0 to 1")
    private double prefixShare = 0.3;

    @Parameter(names = "--prefixes", description = "Number of shared prefixes")
    private int prefixes = 4;

    @Parameter(names = "--prefix-tokens", description = "Length of a shared prefix in tokens")
    private int prefixTokens = 2200;

    @Parameter(names = "--cancel-share", description = "Share of chats whose caller disconnects before the end, 0 to 1")
    private double cancelShare;

    @Parameter(
            names = "--marker",
            description = "Text that is inserted into a share of the chats, for example a crash marker")
    private String marker = "";

    @Parameter(names = "--marker-share", description = "Share of chats with the marker, 0 to 1")
    private double markerShare;

    @Parameter(names = "--booking-paths", description = "Paths of the booking requests, chosen with equal probability")
    private List<String> bookingPaths = List.of("/bookings");

    @Parameter(
            names = "--silence-millis",
            description = "Time without received data after which a connection is closed, in milliseconds")
    private long idleTimeoutMillis = 3000;

    @Parameter(
            names = "--reconnect-millis",
            description = "Pause before a request is sent to another node, in milliseconds")
    private long reconnectMillis = 100;

    @Parameter(
            names = "--booking-timeout-millis",
            description = "Time without a response after which a booking is retried, in milliseconds")
    private long bookingTimeoutMillis = 5000;

    @Parameter(names = "--give-up-millis", description = "Time after which a caller stops retrying, in milliseconds")
    private long timeoutMillis = 60_000;

    @Parameter(names = "--ttft-target-millis", description = "Target for the time to the first token, in milliseconds")
    private double ttftTargetMillis = 540;

    @Parameter(
            names = "--tbt-target-millis",
            description = "Target for the mean time between the tokens of an answer, in milliseconds")
    private double tbtTargetMillis = 71;

    @Parameter(names = "--json", description = "Print the result as a JSON object instead of a table")
    private boolean json;

    List<String> getNodes() {
        return nodes;
    }

    String getZone() {
        return zone;
    }

    String getKey() {
        return key;
    }

    double getRate() {
        return rate;
    }

    int getCount() {
        return count;
    }

    long getSeed() {
        return seed;
    }

    LoadKind getKind() {
        return LoadKind.parse(kind)
                .orElseThrow(() -> new ParameterException("--kind must be chat, booking or mixed, got " + kind));
    }

    String getModel() {
        return model;
    }

    ClassMix getClassMix() {
        return ClassMix.parse(classes);
    }

    long getDeadlineMillis() {
        return deadlineMillis;
    }

    int getPromptMedianTokens() {
        return promptMedianTokens;
    }

    double getPromptSigma() {
        return promptSigma;
    }

    int getPromptMaxTokens() {
        return promptMaxTokens;
    }

    int getOutputMedianTokens() {
        return outputMedianTokens;
    }

    double getOutputSigma() {
        return outputSigma;
    }

    int getMaxTokens() {
        return maxTokens;
    }

    double getPrefixShare() {
        return prefixShare;
    }

    int getPrefixes() {
        return prefixes;
    }

    int getPrefixTokens() {
        return prefixTokens;
    }

    double getCancelShare() {
        return cancelShare;
    }

    String getMarker() {
        return marker;
    }

    double getMarkerShare() {
        return markerShare;
    }

    List<String> getBookingPaths() {
        return bookingPaths;
    }

    long getIdleTimeoutMillis() {
        return idleTimeoutMillis;
    }

    long getReconnectMillis() {
        return reconnectMillis;
    }

    long getBookingTimeoutMillis() {
        return bookingTimeoutMillis;
    }

    long getTimeoutMillis() {
        return timeoutMillis;
    }

    double getTtftTargetMillis() {
        return ttftTargetMillis;
    }

    double getTbtTargetMillis() {
        return tbtTargetMillis;
    }

    boolean isJson() {
        return json;
    }

    @Override
    protected void check() {
        if (nodes.isEmpty()) {
            throw new ParameterException("--nodes is missing; give at least one URL");
        }
        nodes.forEach(NodeUrl::parse);
        getKind();
        getClassMix();
        checkRange("--rate", rate, 0.001, 100_000);
        checkRange("--count", count, 1, 10_000_000);
        checkRange("--deadline-millis", deadlineMillis, 0, 1e9);
        checkRange("--prompt-median-tokens", promptMedianTokens, 1, 1e6);
        checkRange("--prompt-sigma", promptSigma, 0, 5);
        checkRange("--prompt-max-tokens", promptMaxTokens, PromptText.MIN_TOKENS, 1e6);
        checkRange("--output-median-tokens", outputMedianTokens, 1, 1e6);
        checkRange("--output-sigma", outputSigma, 0, 5);
        checkRange("--max-tokens", maxTokens, 1, 1e6);
        checkRange("--prefix-share", prefixShare, 0, 1);
        checkRange("--prefixes", prefixes, 1, 1000);
        checkRange("--prefix-tokens", prefixTokens, 1, 1e6);
        checkRange("--cancel-share", cancelShare, 0, 1);
        checkRange("--marker-share", markerShare, 0, 1);
        checkRange("--silence-millis", idleTimeoutMillis, 1, 1e7);
        checkRange("--reconnect-millis", reconnectMillis, 1, 1e7);
        checkRange("--booking-timeout-millis", bookingTimeoutMillis, 1, 1e7);
        checkRange("--give-up-millis", timeoutMillis, 1, 1e8);
    }
}
