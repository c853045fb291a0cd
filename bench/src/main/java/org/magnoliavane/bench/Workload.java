package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import org.magnoliavane.config.PriceClass;

/**
 * Generates the requests of a run. The same arguments give the same requests.
 */
final class Workload {
    private static final Map<String, Double> CAPACITIES = new ConcurrentHashMap<>();
    private static final int SAMPLE_SIZE = 20_000;
    private static final long SAMPLE_SEED = 1;
    private static final double BURST_RATE_FACTOR = 1.6;
    private static final double QUIET_RATE_FACTOR = 0.6;
    private static final double MEAN_BURST_SECONDS = 4;
    private static final double MEAN_QUIET_SECONDS = 6;
    private static final double SHARED_PREFIX_PROBABILITY = 0.3;
    private static final int PREFIXES_PER_PARTNER = 5;
    private static final int MIN_PROMPT_TOKENS = 30;
    /** Standard deviation of the logarithm of the expected output length. */
    private static final double OUTPUT_SIGMA = 0.6;
    /** Standard deviation of the logarithm of the ratio of the true to the expected output length. */
    private static final double OUTPUT_ESTIMATE_SIGMA = 0.25;

    private final Deployment deployment;
    private final Random random;
    private int nextId;

    private Workload(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Random(seed);
    }

    /**
     * Gets the capacity of a deployment in requests per second. This is the arrival rate at which the more heavily
     * loaded pool of workers is just fully busy, with every shared prefix cached and decode memory full.
     */
    static double getCapacityPerSecond(Deployment deployment) {
        return CAPACITIES.computeIfAbsent(deployment.name(), name -> computeCapacity(deployment));
    }

    private static double computeCapacity(Deployment deployment) {
        Workload sample = new Workload(deployment, SAMPLE_SEED);
        double prefill = 0;
        double decode = 0;
        for (int i = 0; i < SAMPLE_SIZE; i++) {
            Job job = sample.generate(0);
            prefill += EngineTimes.getMinPrefillMicros(deployment.settings(), job);
            decode += EngineTimes.getMinDecodeMicros(deployment.settings(), job);
        }
        double byPrefill = deployment.prefillWorkers() * 1e6 * SAMPLE_SIZE / prefill;
        double byDecode = deployment.decodeWorkers() * 1e6 * SAMPLE_SIZE / decode;
        return Math.min(byPrefill, byDecode);
    }

    /**
     * Generates the requests of a run, whose arrival rate alternates between bursts and quiet periods.
     *
     * @param deployment the deployment
     * @param load the mean arrival rate as a multiple of the capacity
     * @param seed the seed of the random numbers
     * @param seconds the length of the run in seconds
     * @return the requests in order of arrival
     */
    static List<Job> generate(Deployment deployment, double load, long seed, int seconds) {
        double rate = load * getCapacityPerSecond(deployment);
        Workload workload = new Workload(deployment, seed);
        List<Job> jobs = new ArrayList<>();
        boolean burst = false;
        double start = 0;
        while (start < seconds) {
            burst = !burst;
            double length = workload.drawExponential(burst ? MEAN_BURST_SECONDS : MEAN_QUIET_SECONDS);
            double end = Math.min(seconds, start + length);
            double factor = burst ? BURST_RATE_FACTOR : QUIET_RATE_FACTOR;
            double arrivalSeconds = start + workload.drawExponential(1 / (rate * factor));
            while (arrivalSeconds < end) {
                jobs.add(workload.generate((long) (arrivalSeconds * 1e6)));
                arrivalSeconds += workload.drawExponential(1 / (rate * factor));
            }
            start = end;
        }
        return jobs;
    }

    private Job generate(long arrivalMicros) {
        int classIndex = drawIndex(deployment.classShares());
        PriceClass priceClass = deployment.classes().get(classIndex);
        int partner = drawIndex(deployment.partnerShares());
        double length = deployment.medianPromptTokens() * Math.exp(deployment.promptSigma() * random.nextGaussian());
        int promptTokens =
                (int) Math.max(MIN_PROMPT_TOKENS, Math.min(deployment.maxPromptTokens()[classIndex], length));
        double mean = deployment.settings().expectedOutputTokens();
        double drawn = mean * Math.exp(OUTPUT_SIGMA * random.nextGaussian() - OUTPUT_SIGMA * OUTPUT_SIGMA / 2);
        int expected = (int) Math.max(10, Math.min(deployment.settings().maxOutputTokens() / 2, drawn));
        int max = expected * 2;
        int output = (int) (expected * Math.exp(OUTPUT_ESTIMATE_SIGMA * random.nextGaussian()));
        int pieces = promptTokens / deployment.settings().pieceTokens();
        boolean sharesPrefix = random.nextDouble() < SHARED_PREFIX_PROBABILITY;
        int prefix = random.nextInt(PREFIXES_PER_PARTNER);
        int sharedPieces = sharesPrefix ? Math.min(pieces, 1 + prefix % deployment.maxSharedPieces()) : 0;
        int id = nextId++;
        List<Long> hashes = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            long base = i < sharedPieces ? 1_000 + partner * 100L + prefix * 10L : (id + 1) * 1_000_000L;
            hashes.add(base * 64 + i);
        }
        return new Job(
                id,
                arrivalMicros,
                random.nextInt(deployment.nodes()),
                "partner-" + partner,
                priceClass,
                promptTokens,
                expected,
                max,
                Math.max(1, Math.min(max, output)),
                List.copyOf(hashes),
                sharedPieces);
    }

    private int drawIndex(double[] shares) {
        double remaining = random.nextDouble();
        for (int i = 0; i < shares.length - 1; i++) {
            remaining -= shares[i];
            if (remaining < 0) {
                return i;
            }
        }
        return shares.length - 1;
    }

    private double drawExponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }
}
