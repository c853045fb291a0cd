package org.magnoliavane.router;

import java.util.Locale;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import org.magnoliavane.budget.ByteBudget;
import org.magnoliavane.budget.ByteBudget.Use;

/** Shows the use of the byte budget and its refusals. */
final class BudgetMetrics {
    private BudgetMetrics() {}

    static void register(MetricRegistry metrics, ByteBudget budget) {
        for (Use use : Use.values()) {
            String name = "buffers." + use.name().toLowerCase(Locale.ROOT);
            metrics.register(name + ".bytes", (Gauge<Long>) () -> budget.getUsedBytes(use));
            metrics.register(name + ".capacity", (Gauge<Long>) () -> budget.getCapacityBytes(use));
            metrics.register(name + ".refusals", (Gauge<Long>) () -> budget.countRefusals(use));
        }
    }
}
