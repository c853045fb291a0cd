package org.magnoliavane.bench;

import java.util.Arrays;
import java.util.List;

import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;

/**
 * Computes an upper bound on the number of good answers under any policy, even one that knows all arrivals and output
 * lengths in advance.
 *
 * <p>Time is divided into buckets. Each request that is answered on time adds at least its least prefill work to the
 * buckets between its arrival and the time at which its first token is due, and at least its least decode work to the
 * buckets between its earliest import and its latest end. The work in a bucket cannot exceed the time of the workers in
 * it. The best choice under these two constraints alone, where requests may be accepted in fractions, split and run in
 * parallel, is a linear program. By weak duality, any nonnegative prices of the buckets give a bound:
 *
 * <pre>
 * sum over buckets of price x capacity + sum over requests of max(0, 1 - work x lowest price in its window)
 * </pre>
 *
 * <p>A subgradient method searches for prices with a low bound. The number of its steps affects how tight the bound is,
 * not whether it holds.
 *
 * <p>Not thread-safe.
 */
final class GoodputBound {
    private static final int MAX_ROUNDS = 600;
    private static final int UNIFORM_GRID_STEPS = 20;
    /** Number of buckets in the longest target for the time to the first token. */
    private static final int BUCKETS_PER_TARGET = 30;
    /** Initial distance of the target value of the subgradient steps from the best bound, as a share of that bound. */
    private static final double INITIAL_GAP_SHARE = 0.1;
    /** Distance, as a share of the best bound, below which the search ends. */
    private static final double FINAL_GAP_SHARE = 3e-4;
    /** Number of rounds without a clear improvement after which the distance is reduced. */
    private static final int MAX_STALE_ROUNDS = 12;

    private final long bucketMicros;
    private final int buckets;
    private final int jobCount;
    private final double[] prefillWork;
    private final double[] decodeWork;
    private final int[][] windows;
    private final double prefillCapacity;
    private final double decodeCapacity;

    private GoodputBound(Deployment deployment, List<Job> jobs) {
        ModelSettings settings = deployment.settings();
        long maxTtftMillis = deployment.classes().stream()
                .mapToLong(PriceClass::ttftMillis)
                .max()
                .orElseThrow();
        bucketMicros = maxTtftMillis * 1000 / BUCKETS_PER_TARGET;
        jobCount = jobs.size();
        prefillWork = new double[jobCount];
        decodeWork = new double[jobCount];
        windows = new int[jobCount][];
        prefillCapacity = (double) deployment.prefillWorkers() * bucketMicros;
        decodeCapacity = (double) deployment.decodeWorkers() * bucketMicros;
        int last = 0;
        for (int i = 0; i < jobCount; i++) {
            Job job = jobs.get(i);
            long prefill = EngineTimes.getMinPrefillMicros(settings, job);
            long transfer = EngineTimes.getTransferMicros(settings, job.promptTokens());
            long due = job.getFirstTokenDueMicros() - EngineTimes.getStepMicros(1);
            prefillWork[i] = prefill;
            decodeWork[i] = EngineTimes.getMinDecodeMicros(settings, job);
            if (job.arrivalMicros() + prefill + transfer > due) {
                windows[i] = new int[0];
                continue;
            }
            long prefillEnd = due - transfer;
            long decodeStart = job.arrivalMicros() + prefill + transfer;
            long decodeEnd = job.getFirstTokenDueMicros()
                    + (job.outputTokens() - 1) * job.priceClass().tbtMillis() * 1000;
            windows[i] = new int[] {
                toBucket(job.arrivalMicros()), toBucket(prefillEnd), toBucket(decodeStart), toBucket(decodeEnd)
            };
            last = Math.max(last, windows[i][3]);
        }
        buckets = last + 1;
    }

    /** Computes an upper bound on the number of good answers. */
    static double compute(Deployment deployment, List<Job> jobs) {
        return new GoodputBound(deployment, jobs).minimise();
    }

    /**
     * Gets the longest time from the first to the last token of a good answer, in microseconds. A step takes longest
     * when memory is full of streams of one piece each. A stream waits for memory only when it needs another piece, and
     * each time no longer than the target for the time between tokens.
     */
    private static long getMaxDecodeMicros(ModelSettings settings, Job job) {
        long target = job.priceClass().tbtMillis() * 1000;
        long step = Math.min(target, EngineTimes.getStepMicros(settings.decodePieces()));
        int waits = EngineTimes.countPieces(settings, job.promptTokens() + job.outputTokens())
                - EngineTimes.countPieces(settings, job.promptTokens() + 1);
        return (job.outputTokens() - 1) * step + waits * target;
    }

    private int toBucket(long micros) {
        return (int) (micros / bucketMicros);
    }

    private double minimise() {
        double[] prefillPrice = new double[buckets];
        double[] decodePrice = new double[buckets];
        double best = initializeUniformPrices(prefillPrice, decodePrice);
        double[] prefillUse = new double[buckets];
        double[] decodeUse = new double[buckets];
        double gap = best * INITIAL_GAP_SHARE;
        int staleRounds = 0;
        for (int round = 0; round < MAX_ROUNDS; round++) {
            double value = computeValue(prefillPrice, decodePrice, prefillUse, decodeUse);
            staleRounds = value < best - 0.02 * gap ? 0 : staleRounds + 1;
            best = Math.min(best, value);
            if (staleRounds == MAX_STALE_ROUNDS) {
                gap *= 0.6;
                staleRounds = 0;
            }
            double norm = computeSquaredNorm(prefillPrice, prefillUse, prefillCapacity)
                    + computeSquaredNorm(decodePrice, decodeUse, decodeCapacity);
            if (norm == 0 || gap < best * FINAL_GAP_SHARE) {
                break;
            }
            double step = (value - best + gap) / norm;
            updatePrices(prefillPrice, prefillUse, prefillCapacity, step);
            updatePrices(decodePrice, decodeUse, decodeCapacity, step);
        }
        return best;
    }

    /** Sets all buckets to the pair of uniform prices with the lowest bound on a grid, and returns that bound. */
    private double initializeUniformPrices(double[] prefillPrice, double[] decodePrice) {
        double best = Double.MAX_VALUE;
        double bestPrefill = 0;
        double bestDecode = 0;
        for (int p = 0; p <= UNIFORM_GRID_STEPS; p++) {
            for (int d = 0; d <= UNIFORM_GRID_STEPS; d++) {
                double prefill = p * 1.0 / UNIFORM_GRID_STEPS / computeMean(prefillWork);
                double decode = d * 1.0 / UNIFORM_GRID_STEPS / computeMean(decodeWork);
                double value = buckets * (prefill * prefillCapacity + decode * decodeCapacity);
                for (int i = 0; i < jobCount; i++) {
                    boolean reachable = windows[i].length > 0;
                    value += reachable ? Math.max(0, 1 - prefillWork[i] * prefill - decodeWork[i] * decode) : 0;
                }
                if (value < best) {
                    best = value;
                    bestPrefill = prefill;
                    bestDecode = decode;
                }
            }
        }
        Arrays.fill(prefillPrice, bestPrefill);
        Arrays.fill(decodePrice, bestDecode);
        return best;
    }

    /** Computes the squared norm of the subgradient, without components that would lower a price below zero. */
    private static double computeSquaredNorm(double[] prices, double[] use, double capacity) {
        double sum = 0;
        for (int b = 0; b < prices.length; b++) {
            double excess = use[b] - capacity;
            sum += prices[b] > 0 || excess > 0 ? excess * excess : 0;
        }
        return sum;
    }

    /** Computes the bound at the given prices, and the work that the requests add to each bucket at these prices. */
    private double computeValue(double[] prefillPrice, double[] decodePrice, double[] prefillUse, double[] decodeUse) {
        Arrays.fill(prefillUse, 0);
        Arrays.fill(decodeUse, 0);
        double value = computeSum(prefillPrice) * prefillCapacity + computeSum(decodePrice) * decodeCapacity;
        for (int i = 0; i < jobCount; i++) {
            value += assignWork(i, prefillPrice, decodePrice, prefillUse, decodeUse);
        }
        return value;
    }

    /** Adds the work of a request to the cheapest buckets if its surplus is positive; returns the surplus or 0. */
    private double assignWork(
            int i, double[] prefillPrice, double[] decodePrice, double[] prefillUse, double[] decodeUse) {
        int[] window = windows[i];
        if (window.length == 0) {
            return 0;
        }
        double prefillLow = getMin(prefillPrice, window[0], window[1]);
        double decodeLow = getMin(decodePrice, window[2], window[3]);
        double surplus = 1 - prefillWork[i] * prefillLow - decodeWork[i] * decodeLow;
        if (surplus <= 0) {
            return 0;
        }
        spreadWork(prefillUse, prefillPrice, prefillLow, window[0], window[1], prefillWork[i]);
        spreadWork(decodeUse, decodePrice, decodeLow, window[2], window[3], decodeWork[i]);
        return surplus;
    }

    private static double getMin(double[] prices, int from, int to) {
        double lowest = prices[from];
        for (int b = from + 1; b <= to; b++) {
            lowest = Math.min(lowest, prices[b]);
        }
        return lowest;
    }

    /** Spreads work evenly over the buckets whose price is within 2% of the lowest. */
    private static void spreadWork(double[] use, double[] prices, double lowest, int from, int to, double work) {
        double limit = lowest * 1.02 + 1e-15;
        int count = 0;
        for (int b = from; b <= to; b++) {
            count += prices[b] <= limit ? 1 : 0;
        }
        for (int b = from; b <= to; b++) {
            use[b] += prices[b] <= limit ? work / count : 0;
        }
    }

    /** Moves each price along the subgradient, but not below zero. */
    private static void updatePrices(double[] prices, double[] use, double capacity, double step) {
        for (int b = 0; b < prices.length; b++) {
            prices[b] = Math.max(0, prices[b] + step * (use[b] - capacity));
        }
    }

    private static double computeMean(double[] values) {
        return Math.max(1, computeSum(values) / Math.max(1, values.length));
    }

    private static double computeSum(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum;
    }
}
