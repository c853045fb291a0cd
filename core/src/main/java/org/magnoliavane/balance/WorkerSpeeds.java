package org.magnoliavane.balance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/**
 * Measures how fast each worker is relative to the other workers of its service, and how long work takes at a worker of mean
 * speed. The measurements are taken from responses that pass through anyway; nodes share them, because in a large fleet each
 * node has only a few responses of each worker.
 *
 * <p>Thread-safe.
 */
public final class WorkerSpeeds {
    /** Duration of a prefill per token before one has been measured; a third above the data sheets. */
    private static final double DEFAULT_PREFILL_MILLIS_PER_TOKEN = 0.034;

    /** Constant part of the duration of a prefill before one has been measured: connection, first step and response. */
    private static final double DEFAULT_PREFILL_BASE_MILLIS = 25;

    /** Duration of a plain request before one has been measured. */
    private static final double DEFAULT_PLAIN_MILLIS = 50;

    /** Time in which a measurement loses half its weight; a worker may become slower without a new entry. */
    private static final double HALF_LIFE_MILLIS = 30_000;

    /** Age at which the measurements of another node are dropped; it repeats them within a few rounds of reports. */
    private static final long PEER_MAX_AGE_MILLIS = 15_000;

    /**
     * Number of responses at mean speed that every worker is assumed to have given, so that a single slow response does not
     * exclude a worker, and a worker without measurements has the mean speed of its service.
     */
    private static final double PRIOR_SAMPLES = 2;

    /** Number of responses of a service from which the first relative speeds are taken. */
    private static final double MIN_MEAN_SAMPLES = 4;

    /** Smallest weight of the latest response in the mean of a service. */
    private static final double MIN_MEAN_WEIGHT = 0.05;

    /**
     * Weight of a response that took longer than expected, compared to one that did not. Responses often take longer because
     * requests of other nodes were served before, which says nothing about the speed of the worker.
     */
    private static final double SLOW_SAMPLE_WEIGHT = 0.4;

    /** Largest factor by which a response may deviate from the expected time; larger ones are outliers. */
    private static final double MAX_DEVIATION = 4;

    private static final double MIN_REPORTED_SAMPLES = 0.5;

    /** Age up to which the combined measurements of all nodes are not computed again. */
    private static final long COMBINED_MAX_AGE_MILLIS = 100;

    private final Map<Work, Mean> means = new HashMap<>();
    private final Map<String, PrefillLine> prefillLines = new HashMap<>();
    private final TreeMap<String, Sample> own = new TreeMap<>();
    private final Map<String, Map<String, Sample>> peers = new HashMap<>();
    private Map<String, Combined> combined = Map.of();
    private long combinedMillis = Long.MIN_VALUE / 2;
    private String lastReported = "";

    /**
     * Records the duration of a prefill at a worker without other work.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param tokens the number of tokens of the prompt
     * @param millis the time from sending the request to the response, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordPrefill(String service, String worker, int tokens, long millis, long nowMillis) {
        prefillLines.computeIfAbsent(service, s -> new PrefillLine()).add(tokens, millis * getSpeed(worker, nowMillis));
        record(new Work(service, Kind.PREFILL), worker, millis / getDefaultPrefillMillis(tokens), nowMillis);
    }

    /**
     * Gets the number of prefills that a worker can run at a time without delaying the first of them.
     *
     * @param service the name of the service
     * @return the number; 1 until enough prefills have been measured
     */
    public synchronized int getPrefillSlots(String service) {
        PrefillLine line = prefillLines.get(service);
        return line == null ? 1 : line.getSlots();
    }

    /**
     * Records the duration of a decode.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param tokens the number of tokens that were generated after the first event
     * @param millis the time between the first and the last event, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordDecode(String service, String worker, int tokens, long millis, long nowMillis) {
        record(new Work(service, Kind.STEP), worker, (double) millis / Math.max(1, tokens), nowMillis);
    }

    /**
     * Records the duration of a plain request.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param millis the time from sending the request to the end of the response, in milliseconds
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void recordPlain(String service, String worker, long millis, long nowMillis) {
        record(new Work(service, Kind.PLAIN), worker, millis / DEFAULT_PLAIN_MILLIS, nowMillis);
    }

    private void record(Work work, String worker, double ratio, long nowMillis) {
        double measured = Math.max(ratio, 1e-3);
        double slowness = 1 / getSpeed(worker, nowMillis);
        Mean mean = means.getOrDefault(work, Mean.NONE);
        if (mean.samples >= MIN_MEAN_SAMPLES) {
            double relative = clamp(measured / mean.value, slowness);
            double weight = relative > slowness ? SLOW_SAMPLE_WEIGHT : 1;
            own.merge(worker, new Sample(relative, weight, nowMillis), (old, latest) -> old.add(latest, nowMillis));
        }
        means.put(work, mean.add(measured / slowness));
    }

    private static double clamp(double value, double center) {
        return Math.max(center / MAX_DEVIATION, Math.min(center * MAX_DEVIATION, value));
    }

    /**
     * Gets the speed of a worker.
     *
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the speed relative to the mean of its service; 1 if nothing has been measured
     */
    public synchronized double getSpeed(String worker, long nowMillis) {
        if (nowMillis - combinedMillis >= COMBINED_MAX_AGE_MILLIS) {
            combined = combine(nowMillis);
            combinedMillis = nowMillis;
        }
        Combined sum = combined.get(worker);
        return sum == null ? 1 : (PRIOR_SAMPLES + sum.samples) / (PRIOR_SAMPLES + sum.weightedSlowness);
    }

    private Map<String, Combined> combine(long nowMillis) {
        Map<String, Combined> sums = new HashMap<>();
        own.values().removeIf(s -> s.getSamples(nowMillis) < MIN_REPORTED_SAMPLES / 10);
        own.forEach((worker, sample) -> add(sums, worker, sample, nowMillis));
        for (Map<String, Sample> samples : peers.values()) {
            samples.values().removeIf(s -> nowMillis - s.atMillis > PEER_MAX_AGE_MILLIS);
            samples.forEach((worker, sample) -> add(sums, worker, sample, nowMillis));
        }
        peers.values().removeIf(Map::isEmpty);
        return sums;
    }

    private static void add(Map<String, Combined> sums, String worker, Sample sample, long nowMillis) {
        sums.computeIfAbsent(worker, w -> new Combined()).add(sample.slowness, sample.getSamples(nowMillis));
    }

    /**
     * Gets the expected duration of a prefill.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param tokens the number of tokens of the prompt and of those before it
     * @param nowMillis the current time, in milliseconds
     * @return the expected time, in milliseconds
     */
    public double getPrefillMillis(String service, String worker, int tokens, long nowMillis) {
        return getMeanPrefillMillis(service, tokens) / getSpeed(worker, nowMillis);
    }

    /**
     * Gets the expected duration of a prefill at a worker of mean speed.
     *
     * @param service the name of the service
     * @param tokens the number of tokens of the prompt and of those before it
     * @return the expected time, in milliseconds
     */
    public double getMeanPrefillMillis(String service, int tokens) {
        return getFactor(service, Kind.PREFILL) * getDefaultPrefillMillis(tokens);
    }

    /**
     * Finds the expected time for each token of a decode.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the expected time, in milliseconds; empty if no decode of the service has been measured
     */
    public synchronized OptionalDouble findStepMillis(String service, String worker, long nowMillis) {
        Mean mean = means.getOrDefault(new Work(service, Kind.STEP), Mean.NONE);
        return mean.samples < MIN_MEAN_SAMPLES
                ? OptionalDouble.empty()
                : OptionalDouble.of(mean.value / getSpeed(worker, nowMillis));
    }

    /**
     * Gets the expected duration of a plain request.
     *
     * @param service the name of the service
     * @param worker the id of the worker
     * @param nowMillis the current time, in milliseconds
     * @return the expected time, in milliseconds
     */
    public double getPlainMillis(String service, String worker, long nowMillis) {
        return getFactor(service, Kind.PLAIN) * DEFAULT_PLAIN_MILLIS / getSpeed(worker, nowMillis);
    }

    private synchronized double getFactor(String service, Kind kind) {
        return means.getOrDefault(new Work(service, kind), Mean.NONE).value;
    }

    private static double getDefaultPrefillMillis(int tokens) {
        return DEFAULT_PREFILL_BASE_MILLIS + DEFAULT_PREFILL_MILLIS_PER_TOKEN * tokens;
    }

    /**
     * Gets measurements of this node for the next report. Successive calls go through all measured workers in turn.
     *
     * @param max the largest number of workers
     * @param nowMillis the current time, in milliseconds
     * @return the measurements by worker id
     */
    public synchronized Map<String, Measurement> getNextMeasurements(int max, long nowMillis) {
        Map<String, Measurement> next = new LinkedHashMap<>();
        if (own.isEmpty()) {
            return next;
        }
        List<String> workers = new ArrayList<>(own.tailMap(lastReported, false).keySet());
        workers.addAll(own.headMap(lastReported, true).keySet());
        for (String worker : workers) {
            if (next.size() >= max) {
                break;
            }
            Sample sample = own.get(worker);
            if (sample.getSamples(nowMillis) >= MIN_REPORTED_SAMPLES) {
                next.put(worker, new Measurement(1 / sample.slowness, sample.getSamples(nowMillis)));
                lastReported = worker;
            }
        }
        return next;
    }

    /**
     * Replaces what another node has measured at some workers.
     *
     * @param node the name of the node
     * @param measurements the measurements by worker id; others of the node are kept for some time
     * @param nowMillis the current time, in milliseconds
     */
    public synchronized void updatePeerMeasurements(
            String node, Map<String, Measurement> measurements, long nowMillis) {
        if (measurements.isEmpty()) {
            return;
        }
        Map<String, Sample> samples = peers.computeIfAbsent(node, n -> new HashMap<>());
        measurements.forEach((worker, measurement) -> {
            if (measurement.speed > 0 && measurement.samples > 0) {
                samples.put(worker, new Sample(1 / measurement.speed, measurement.samples, nowMillis));
            }
        });
    }

    /**
     * A measurement of one node at one worker.
     *
     * @param speed the speed relative to the mean of the service
     * @param samples the weight, as a number of recent responses
     */
    public record Measurement(double speed, double samples) {}

    private enum Kind {
        PREFILL,
        STEP,
        PLAIN
    }

    private record Work(String service, Kind kind) {}

    /** The time of a response at mean speed, relative to the default time. */
    private record Mean(double value, double samples) {
        static final Mean NONE = new Mean(1, 0);

        Mean add(double latest) {
            double weight = Math.max(1 / (samples + 1), MIN_MEAN_WEIGHT);
            double bounded = samples < MIN_MEAN_SAMPLES ? latest : clamp(latest, value);
            double effective = samples >= MIN_MEAN_SAMPLES && bounded > value ? weight * SLOW_SAMPLE_WEIGHT : weight;
            return new Mean(value + effective * (bounded - value), samples + 1);
        }
    }

    /** The mean time of responses of a worker relative to the mean of the service. */
    private record Sample(double slowness, double samples, long atMillis) {
        Sample add(Sample latest, long nowMillis) {
            double before = getSamples(nowMillis);
            double added = latest.getSamples(nowMillis);
            return new Sample(
                    (slowness * before + latest.slowness * added) / (before + added), before + added, nowMillis);
        }

        double getSamples(long nowMillis) {
            return samples * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    /** The sum of the measurements of all nodes at one worker. */
    private static final class Combined {
        private double samples;
        private double weightedSlowness;

        void add(double slowness, double weight) {
            samples += weight;
            weightedSlowness += weight * slowness;
        }
    }
}
