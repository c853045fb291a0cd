package org.magnoliavane.bench;

import java.util.Arrays;
import java.util.List;

import org.magnoliavane.config.ModelSettings;
import org.magnoliavane.config.PriceClass;

/**
 * Computes an upper bound on the number of good answers of any policy, even one that knows all arrivals and lengths.
 *
 * <p>Time is cut into buckets. Each request that a policy answers in time puts its least prefill work into buckets
 * between its arrival and its due time, and its least decode work into buckets between its earliest import and its
 * latest end. The work in a bucket cannot exceed the time of the workers. The
 * best choice under these two constraints alone, with requests taken in fractions, split and run in parallel, is a
 * linear program. By weak duality every set of prices of the buckets gives a bound:
 *
 * <pre>
 * sum over buckets of price x capacity + sum over requests of max(0, 1 - work x lowest price in its window)
 * </pre>
 *
 * <p>Subgradient steps look for prices with a low bound; where they stop affects how tight the bound is, not whether
 * it holds.
 */
final class GoodputBound {
    private static final int ROUNDS = 600;
    private static final int UNIFORM_STEPS = 20;
    private static final int BUCKETS_PER_TARGET = 30;
    private static final double FIRST_GAP = 0.1;
    private static final double LAST_GAP = 3e-4;
    private static final int PATIENCE = 12;

    private final long bucketMicros;
    private final int buckets;
    private final int size;
    private final double[] prefillWork;
    private final double[] decodeWork;
    private final int[][] windows;
    private final double prefillCapacity;
    private final double decodeCapacity;

    private GoodputBound(Deployment deployment, List<Job> jobs) {
        ModelSettings settings = deployment.settings();
        long longest = deployment.classes().stream()
                .mapToLong(PriceClass::ttftMillis)
                .max()
                .orElseThrow();
        bucketMicros = longest * 1000 / BUCKETS_PER_TARGET;
        size = jobs.size();
        prefillWork = new double[size];
        decodeWork = new double[size];
        windows = new int[size][];
        prefillCapacity = (double) deployment.prefillWorkers() * bucketMicros;
        decodeCapacity = (double) deployment.decodeWorkers() * bucketMicros;
        int last = 0;
        for (int i = 0; i < size; i++) {
            Job job = jobs.get(i);
            long prefill = EngineTimes.leastPrefill(settings, job);
            long transfer = EngineTimes.transfer(settings, job.promptTokens());
            long due = job.dueMicros() - EngineTimes.step(1);
            prefillWork[i] = prefill;
            decodeWork[i] = EngineTimes.leastDecode(settings, job);
            if (job.arrivalMicros() + prefill + transfer > due) {
                windows[i] = new int[0];
                continue;
            }
            long prefillEnd = due - transfer;
            long decodeStart = job.arrivalMicros() + prefill + transfer;
            long decodeEnd = job.dueMicros()
                    + (job.outputTokens() - 1) * job.priceClass().tbtMillis() * 1000;
            windows[i] =
                    new int[] {bucket(job.arrivalMicros()), bucket(prefillEnd), bucket(decodeStart), bucket(decodeEnd)};
            last = Math.max(last, windows[i][3]);
        }
        buckets = last + 1;
    }

    /** Computes the bound on the number of good answers. */
    static double of(Deployment deployment, List<Job> jobs) {
        return new GoodputBound(deployment, jobs).minimise();
    }

    /**
     * Gets the longest time from the first to the last token of a good answer. A step is longest when memory is full of
     * streams of one piece each; a stream waits for memory only where it needs another piece, each time for no longer
     * than the target between tokens.
     */
    private static long longestDecode(ModelSettings settings, Job job) {
        long target = job.priceClass().tbtMillis() * 1000;
        long step = Math.min(target, EngineTimes.step(settings.decodePieces()));
        int waits = EngineTimes.pieces(settings, job.promptTokens() + job.outputTokens())
                - EngineTimes.pieces(settings, job.promptTokens() + 1);
        return (job.outputTokens() - 1) * step + waits * target;
    }

    private int bucket(long micros) {
        return (int) (micros / bucketMicros);
    }

    private double minimise() {
        double[] prefillPrice = new double[buckets];
        double[] decodePrice = new double[buckets];
        double best = startUniform(prefillPrice, decodePrice);
        double[] prefillUse = new double[buckets];
        double[] decodeUse = new double[buckets];
        double gap = best * FIRST_GAP;
        int stale = 0;
        for (int round = 0; round < ROUNDS; round++) {
            double value = value(prefillPrice, decodePrice, prefillUse, decodeUse);
            stale = value < best - 0.02 * gap ? 0 : stale + 1;
            best = Math.min(best, value);
            if (stale == PATIENCE) {
                gap *= 0.6;
                stale = 0;
            }
            double norm =
                    norm(prefillPrice, prefillUse, prefillCapacity) + norm(decodePrice, decodeUse, decodeCapacity);
            if (norm == 0 || gap < best * LAST_GAP) {
                break;
            }
            double step = (value - best + gap) / norm;
            adjust(prefillPrice, prefillUse, prefillCapacity, step);
            adjust(decodePrice, decodeUse, decodeCapacity, step);
        }
        return best;
    }

    /** Looks for good prices that are the same in all buckets up to the last arrival, and returns their bound. */
    private double startUniform(double[] prefillPrice, double[] decodePrice) {
        double best = Double.MAX_VALUE;
        double bestPrefill = 0;
        double bestDecode = 0;
        for (int p = 0; p <= UNIFORM_STEPS; p++) {
            for (int d = 0; d <= UNIFORM_STEPS; d++) {
                double prefill = p * 1.0 / UNIFORM_STEPS / mean(prefillWork);
                double decode = d * 1.0 / UNIFORM_STEPS / mean(decodeWork);
                double value = buckets * (prefill * prefillCapacity + decode * decodeCapacity);
                for (int i = 0; i < size; i++) {
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

    /** Sums the squares of the subgradient, without the prices that cannot go lower. */
    private static double norm(double[] prices, double[] use, double capacity) {
        double sum = 0;
        for (int b = 0; b < prices.length; b++) {
            double excess = use[b] - capacity;
            sum += prices[b] > 0 || excess > 0 ? excess * excess : 0;
        }
        return sum;
    }

    /** Computes the bound for some prices, and the work that the requests put into each bucket at these prices. */
    private double value(double[] prefillPrice, double[] decodePrice, double[] prefillUse, double[] decodeUse) {
        Arrays.fill(prefillUse, 0);
        Arrays.fill(decodeUse, 0);
        double value = sum(prefillPrice) * prefillCapacity + sum(decodePrice) * decodeCapacity;
        for (int i = 0; i < size; i++) {
            value += assign(i, prefillPrice, decodePrice, prefillUse, decodeUse);
        }
        return value;
    }

    /** Adds a request to the cheapest buckets of its windows if it is worth their prices; returns its surplus. */
    private double assign(int i, double[] prefillPrice, double[] decodePrice, double[] prefillUse, double[] decodeUse) {
        int[] window = windows[i];
        if (window.length == 0) {
            return 0;
        }
        double prefillLow = lowest(prefillPrice, window[0], window[1]);
        double decodeLow = lowest(decodePrice, window[2], window[3]);
        double surplus = 1 - prefillWork[i] * prefillLow - decodeWork[i] * decodeLow;
        if (surplus <= 0) {
            return 0;
        }
        spread(prefillUse, prefillPrice, prefillLow, window[0], window[1], prefillWork[i]);
        spread(decodeUse, decodePrice, decodeLow, window[2], window[3], decodeWork[i]);
        return surplus;
    }

    private static double lowest(double[] prices, int from, int to) {
        double low = prices[from];
        for (int b = from + 1; b <= to; b++) {
            low = Math.min(low, prices[b]);
        }
        return low;
    }

    private static void spread(double[] use, double[] prices, double low, int from, int to, double work) {
        double limit = low * 1.02 + 1e-15;
        int count = 0;
        for (int b = from; b <= to; b++) {
            count += prices[b] <= limit ? 1 : 0;
        }
        for (int b = from; b <= to; b++) {
            use[b] += prices[b] <= limit ? work / count : 0;
        }
    }

    private static void adjust(double[] prices, double[] use, double capacity, double step) {
        for (int b = 0; b < prices.length; b++) {
            prices[b] = Math.max(0, prices[b] + step * (use[b] - capacity));
        }
    }

    private static double mean(double[] values) {
        return Math.max(1, sum(values) / Math.max(1, values.length));
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double each : values) {
            sum += each;
        }
        return sum;
    }
}
