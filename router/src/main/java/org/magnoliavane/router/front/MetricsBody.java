package org.magnoliavane.router.front;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.json.Json;

/** Formats metrics as lines of name and value or as a JSON object. */
public final class MetricsBody {
    private static final double NANOS_PER_MILLI = 1e6;

    private MetricsBody() {}

    public static byte[] toText(MetricRegistry metrics) {
        StringBuilder text = new StringBuilder();
        collectValues(metrics)
                .forEach((name, value) -> text.append(name.replace('.', '_'))
                        .append(' ')
                        .append(value)
                        .append('\n'));
        return text.toString().getBytes(StandardCharsets.UTF_8);
    }

    public static byte[] toJson(MetricRegistry metrics) {
        ObjectNode json = Json.object();
        collectValues(metrics).forEach((name, value) -> {
            if (value instanceof Double d) {
                json.put(name, d);
            } else {
                json.put(name, value.longValue());
            }
        });
        return Json.write(json);
    }

    private static Map<String, Number> collectValues(MetricRegistry metrics) {
        Map<String, Number> values = new TreeMap<>();
        metrics.getCounters().forEach((name, c) -> values.put(name, c.getCount()));
        metrics.getMeters().forEach((name, m) -> values.put(name, m.getCount()));
        metrics.getGauges().forEach((name, g) -> putGauge(values, name, g));
        metrics.getHistograms().forEach((name, h) -> putQuantiles(values, name, h.getCount(), h.getSnapshot(), 1));
        metrics.getTimers()
                .forEach((name, t) ->
                        putQuantiles(values, name + ".millis", t.getCount(), t.getSnapshot(), NANOS_PER_MILLI));
        return values;
    }

    private static void putGauge(Map<String, Number> values, String name, Gauge<?> gauge) {
        if (gauge.getValue() instanceof Number number) {
            values.put(name, number);
        }
    }

    private static void putQuantiles(
            Map<String, Number> values, String name, long count, Snapshot snapshot, double unit) {
        values.put(name + ".count", count);
        values.put(name + ".p50", snapshot.getMedian() / unit);
        values.put(name + ".p95", snapshot.get95thPercentile() / unit);
        values.put(name + ".p99", snapshot.get99thPercentile() / unit);
    }
}
