package org.magnoliavane.emulator.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Aggregates the reports of a load run.
 *
 * <p>Thread-safe.
 */
final class LoadStatistics {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MICROS_PER_MILLI = 1000;

    private final LoadOptions options;
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Integer> errors = new TreeMap<>();
    private final Map<String, LoadResult.ClassResult> classes = new TreeMap<>();
    private final Map<String, Integer> bookings = new TreeMap<>();
    private final Map<String, String> ranByKey = new TreeMap<>();
    private final Histogram ttft = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram tbt = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram bookingTime = new Histogram(SIGNIFICANT_DIGITS);
    private int chatRetryAfter;
    private int resumes;
    private int good;
    private int bookingsCrossed;
    private int bookingRetryAfter;
    private int repeats;

    LoadStatistics(LoadOptions options) {
        this.options = options;
    }

    synchronized void addReport(ChatReport report) {
        outcomes.merge(report.outcome().toWire(), 1, Integer::sum);
        chatRetryAfter += report.retryAfter() ? 1 : 0;
        resumes += report.resumes();
        boolean within = report.meetsTargets(options.getTtftTargetMillis(), options.getTbtTargetMillis());
        good += within ? 1 : 0;
        if (!report.errorType().isEmpty()) {
            errors.merge(report.errorType(), 1, Integer::sum);
        }
        int complete = report.outcome() == ChatOutcome.COMPLETE ? 1 : 0;
        classes.merge(
                report.request().className(),
                new LoadResult.ClassResult(1, complete, within ? 1 : 0),
                LoadResult.ClassResult::plus);
        if (report.ttftMillis() >= 0) {
            record(ttft, report.ttftMillis());
        }
        report.gapMillis().forEach(gap -> record(tbt, gap));
    }

    synchronized void addReport(BookingReport report) {
        bookings.merge(report.ran(), 1, Integer::sum);
        ranByKey.put(report.key(), report.ran());
        bookingsCrossed += report.crossed() ? 1 : 0;
        bookingRetryAfter += report.retryAfter() ? 1 : 0;
        repeats += report.repeats();
        record(bookingTime, report.millis());
    }

    synchronized LoadResult toResult(double seconds) {
        LoadResult.Chats chats = new LoadResult.Chats(
                Map.copyOf(outcomes),
                chatRetryAfter,
                Map.copyOf(errors),
                resumes,
                good,
                good / Math.max(seconds, 1e-9),
                toPercentiles(ttft),
                toPercentiles(tbt),
                Map.copyOf(classes));
        LoadResult.Bookings booked = new LoadResult.Bookings(
                bookings.getOrDefault("yes", 0),
                bookings.getOrDefault("no", 0),
                bookings.getOrDefault("unknown", 0),
                bookings.getOrDefault("unanswered", 0),
                bookingsCrossed,
                bookingRetryAfter,
                repeats,
                toPercentiles(bookingTime),
                Map.copyOf(ranByKey));
        return new LoadResult(options.getSeed(), seconds, options.getCount(), chats, booked);
    }

    private static void record(Histogram histogram, double millis) {
        histogram.recordValue(Math.max(0, Math.round(millis * MICROS_PER_MILLI)));
    }

    private static LoadResult.Percentiles toPercentiles(Histogram histogram) {
        return new LoadResult.Percentiles(
                histogram.getTotalCount(),
                toMillis(histogram, 50),
                toMillis(histogram, 90),
                toMillis(histogram, 95),
                toMillis(histogram, 99),
                toMillis(histogram, 100));
    }

    private static double toMillis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }
}
