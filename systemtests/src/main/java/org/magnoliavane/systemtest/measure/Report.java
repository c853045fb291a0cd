package org.magnoliavane.systemtest.measure;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;

import org.magnoliavane.systemtest.Endpoint;

/** Collects the measured figures and prints them as a table or as JSON. Not thread-safe. */
final class Report {
    private final PrintStream out;
    private final boolean json;
    private final List<Figure> figures = new ArrayList<>();
    private final List<Section> sections = new ArrayList<>();

    Report(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    /**
     * Starts a section and records the load average, which shows whether other work on the machine may have disturbed
     * it.
     */
    void beginSection(String section) {
        double load = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        sections.add(new Section(section, load));
        if (!json) {
            out.printf(Locale.ROOT, "%n%s (load average %.1f at the start)%n", section, load);
        }
    }

    void add(String name, double value, String unit) {
        figures.add(new Figure(sections.get(sections.size() - 1).name(), name, value, unit));
        if (!json) {
            out.printf(Locale.ROOT, "  %-84s %12.3f %s%n", name, value, unit);
        }
    }

    /** Finds the value of a figure by its section and name; empty when there is none. */
    OptionalDouble findValue(String section, String name) {
        return figures.stream()
                .filter(f -> f.section().equals(section) && f.name().equals(name))
                .mapToDouble(Figure::value)
                .findFirst();
    }

    void finish() {
        if (json) {
            byte[] document = Endpoint.toJsonBytes(Map.of("sections", sections, "figures", figures));
            out.write(document, 0, document.length);
            out.println();
        }
    }

    record Section(String name, double loadAverage) {}

    record Figure(String section, String name, double value, String unit) {}
}
