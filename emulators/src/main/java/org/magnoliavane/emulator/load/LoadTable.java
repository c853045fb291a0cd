package org.magnoliavane.emulator.load;

import java.util.Locale;

/** Formats the result of a load run as a table. */
final class LoadTable {
    private static final String LINE = "%-32s %10s%n";
    private static final String TIMES = "%-32s %10.1f %10.1f %10.1f %10.1f %10.1f%n";

    private final StringBuilder text = new StringBuilder();

    private LoadTable() {}

    static String of(LoadResult result) {
        LoadTable table = new LoadTable();
        table.line("seed", result.seed());
        table.line("seconds", String.format(Locale.ROOT, "%.1f", result.seconds()));
        table.line("requests", result.requests());
        table.chats(result.chats());
        table.bookings(result.bookings());
        table.text.append(
                String.format("%-32s %10s %10s %10s %10s %10s%n", "milliseconds", "p50", "p90", "p95", "p99", "max"));
        table.times("time to first token", result.chats().ttftMillis());
        table.times("time between tokens", result.chats().tbtMillis());
        table.times("booking", result.bookings().millis());
        return table.text.toString();
    }

    private void chats(LoadResult.Chats chats) {
        for (ChatOutcome outcome : ChatOutcome.values()) {
            line("chats " + outcome.toWire(), chats.count(outcome));
        }
        line("chat errors with a retry time", chats.refusedWithRetryAfter());
        chats.errors().forEach((type, count) -> line("chat error " + type, count));
        line("chat reconnections", chats.resumes());
        line("chats good", chats.good());
        line("chats good per second", String.format(Locale.ROOT, "%.2f", chats.goodPerSecond()));
        chats.classes().forEach((name, found) -> {
            String label = name.isEmpty() ? "(no class)" : name;
            line("class " + label + " good/all", found.good() + "/" + found.chats());
        });
    }

    private void bookings(LoadResult.Bookings bookings) {
        line("bookings ran yes", bookings.ranYes());
        line("bookings ran no", bookings.ranNo());
        line("bookings ran unknown", bookings.ranUnknown());
        line("bookings unanswered", bookings.unanswered());
        line("bookings crossed", bookings.crossed());
        line("booking errors with a retry time", bookings.refusedWithRetryAfter());
        line("booking repeats", bookings.repeats());
    }

    private void line(String name, Object value) {
        text.append(String.format(Locale.ROOT, LINE, name, value));
    }

    private void times(String name, LoadResult.Percentiles values) {
        text.append(String.format(
                Locale.ROOT, TIMES, name, values.p50(), values.p90(), values.p95(), values.p99(), values.max()));
    }
}
