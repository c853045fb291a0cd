package org.magnoliavane.emulator.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates the requests of a load run from its seed. Options with the same values give the same requests.
 *
 * <p>Not thread-safe.
 */
final class RequestPlan {
    private static final double MICROS_PER_SECOND = 1_000_000;

    private final LoadOptions options;
    private final ClassMix classes;
    private final SplittableRandom random;

    private RequestPlan(LoadOptions options) {
        this.options = options;
        this.classes = options.getClassMix();
        this.random = new SplittableRandom(options.getSeed());
    }

    static List<PlannedRequest> of(LoadOptions options) {
        RequestPlan plan = new RequestPlan(options);
        List<PlannedRequest> requests = new ArrayList<>(options.getCount());
        double arrival = 0;
        for (int number = 0; number < options.getCount(); number++) {
            arrival += plan.random.nextExponential() / options.getRate();
            requests.add(plan.next(number, Math.round(arrival * MICROS_PER_SECOND)));
        }
        return requests;
    }

    private PlannedRequest next(int number, long arrivalMicros) {
        boolean booking = options.getKind().isBooking(random);
        String path = options.getBookingPaths()
                .get(random.nextInt(options.getBookingPaths().size()));
        String check = String.format("%08x", random.nextInt());
        int output = drawLength(options.getOutputMedianTokens(), options.getOutputSigma(), 1, options.getMaxTokens());
        boolean isCancelled = random.nextDouble() < options.getCancelShare();
        int cancelAfter = isCancelled ? 1 + random.nextInt(output) : 0;
        PromptText prompt = drawPrompt(check, output);
        return new PlannedRequest(
                number, arrivalMicros, booking, path, classes.choose(random), prompt, check, output, cancelAfter);
    }

    private PromptText drawPrompt(String check, int output) {
        int tokens = drawLength(
                options.getPromptMedianTokens(),
                options.getPromptSigma(),
                PromptText.MIN_TOKENS,
                options.getPromptMaxTokens());
        boolean hasPrefix = random.nextDouble() < options.getPrefixShare();
        int prefix = hasPrefix ? random.nextInt(options.getPrefixes()) : -1;
        boolean hasMarker = random.nextDouble() < options.getMarkerShare();
        String tail = (hasMarker ? " " + options.getMarker() : "") + " max_output=" + output + " check=" + check;
        int promptTokens = hasPrefix ? Math.max(tokens, options.getPrefixTokens() + PromptText.MIN_TOKENS) : tokens;
        return new PromptText(promptTokens, prefix, options.getPrefixTokens(), tail, random.nextLong());
    }

    private int drawLength(int median, double sigma, int min, int max) {
        double drawn = median * Math.exp(sigma * random.nextGaussian());
        return (int) Math.max(min, Math.min(max, Math.round(drawn)));
    }
}
