package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The workers of one role from which a {@link WorkerSelector} chooses, each with its cost or the reason for which it may not be
 * chosen.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workers the workers
 * @param drawn whether the choice is made among two workers that are drawn in proportion to their speeds
 * @param maxRandomCost the upper bound of the random cost that is added to the cost of each worker
 */
public record ScoredWorkers(List<Scored> workers, boolean drawn, double maxRandomCost) {
    /** Number of values of the lowest cost over which probabilities are integrated; each is wrong by less than 0.002. */
    private static final int RANDOM_COST_STEPS = 1024;

    /**
     * A worker with its cost.
     *
     * @param worker the worker
     * @param exclusion the reason for which the worker may not be chosen; empty if it may
     * @param cost the cost without its random part; NaN if it was not computed, because the worker is excluded
     * @param speed the speed relative to the mean of the service; NaN if it was not read
     */
    public record Scored(ListedWorker worker, Optional<Exclusion> exclusion, double cost, double speed) {
        static Scored excluded(ListedWorker worker, Exclusion exclusion) {
            return new Scored(worker, Optional.of(exclusion), Double.NaN, Double.NaN);
        }

        Scored withAddedCost(double added) {
            return new Scored(worker, exclusion, cost + added, speed);
        }

        Scored withReason(Exclusion reason) {
            return new Scored(worker, Optional.of(reason), cost, speed);
        }
    }

    /**
     * Gets the workers that may be chosen.
     *
     * @return the workers without a reason not to choose them
     */
    public List<Scored> getCandidates() {
        return workers.stream().filter(w -> w.exclusion().isEmpty()).toList();
    }

    /**
     * Adds workers that were kept from the choice.
     *
     * @param excluded the workers
     * @param reason the reason that they have in common
     * @return a copy with these workers
     */
    public ScoredWorkers withExcluded(Collection<ListedWorker> excluded, Exclusion reason) {
        List<Scored> all = new ArrayList<>(workers);
        excluded.forEach(w -> all.add(Scored.excluded(w, reason)));
        return new ScoredWorkers(List.copyOf(all), drawn, maxRandomCost);
    }

    /**
     * Excludes workers that might be chosen otherwise. Others do not take their place: unhealthy workers stay excluded if the
     * scores contain a healthy one.
     *
     * @param selected selects the workers
     * @param reason the reason
     * @return a copy in which these workers have the reason, unless they were excluded for another one
     */
    public ScoredWorkers excluding(Predicate<ListedWorker> selected, Exclusion reason) {
        List<Scored> all = workers.stream()
                .map(s -> s.exclusion().isEmpty() && selected.test(s.worker()) ? s.withReason(reason) : s)
                .toList();
        return new ScoredWorkers(all, drawn, maxRandomCost);
    }

    /**
     * Computes with which probability each worker is chosen.
     *
     * @return the probabilities by worker id, whose sum is 1; empty if no worker may be chosen
     */
    public Map<String, Double> computeProbabilities() {
        List<Scored> candidates = getCandidates();
        double[] weights = drawn ? computeOfTwo(candidates) : computeOfAll(candidates);
        double sum = 0;
        for (double weight : weights) {
            sum += weight;
        }
        Map<String, Double> probabilities = new HashMap<>();
        for (int i = 0; i < weights.length; i++) {
            probabilities.put(candidates.get(i).worker().id(), weights[i] / sum);
        }
        return probabilities;
    }

    /**
     * Integrates over the lowest cost. A worker has it if its own random part leads to it and the costs of all others are
     * above it.
     */
    private double[] computeOfAll(List<Scored> candidates) {
        double lowest = candidates.stream().mapToDouble(Scored::cost).min().orElse(0);
        double[] weights = new double[candidates.size()];
        for (int step = 0; step < RANDOM_COST_STEPS; step++) {
            double cost = lowest + maxRandomCost * (step + 0.5) / RANDOM_COST_STEPS;
            double allAbove = 1;
            for (Scored candidate : candidates) {
                allAbove *= getProbabilityAbove(candidate, cost);
            }
            for (int i = 0; i < weights.length; i++) {
                Scored candidate = candidates.get(i);
                weights[i] += candidate.cost() > cost ? 0 : allAbove / getProbabilityAbove(candidate, cost);
            }
        }
        return weights;
    }

    /** Gets the probability that the cost of a worker, with its random part, is above a value. */
    private double getProbabilityAbove(Scored worker, double cost) {
        return Math.min(1, (worker.cost() + maxRandomCost - cost) / maxRandomCost);
    }

    private double[] computeOfTwo(List<Scored> candidates) {
        double[] weights = new double[candidates.size()];
        if (weights.length == 1) {
            weights[0] = 1;
        }
        double total = candidates.stream().mapToDouble(Scored::speed).sum();
        for (int i = 0; i < weights.length; i++) {
            for (int j = i + 1; j < weights.length; j++) {
                Scored first = candidates.get(i);
                Scored second = candidates.get(j);
                double product = first.speed() / total * second.speed();
                // The worker that was drawn first is not drawn again.
                double bothDrawn = product / (total - first.speed()) + product / (total - second.speed());
                double firstIsLower = getProbabilityBelow((second.cost() - first.cost()) / maxRandomCost);
                weights[i] += bothDrawn * firstIsLower;
                weights[j] += bothDrawn * (1 - firstIsLower);
            }
        }
        return weights;
    }

    /** Gets the probability that the difference of two random numbers between 0 and 1 is below a value. */
    private static double getProbabilityBelow(double value) {
        double bounded = Math.max(-1, Math.min(1, value));
        return bounded < 0 ? (1 + bounded) * (1 + bounded) / 2 : 1 - (1 - bounded) * (1 - bounded) / 2;
    }
}
