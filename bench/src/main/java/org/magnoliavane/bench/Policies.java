package org.magnoliavane.bench;

import java.util.List;
import java.util.Optional;

import org.magnoliavane.pool.SlackScheduler;

/**
 * Lists the policies that the benchmark compares.
 */
final class Policies {
    static final Policy SLACK =
            new Policy("slack", true, (deployment, seed) -> SlackScheduler.of(deployment.settings()));

    private Policies() {}

    static List<Policy> all() {
        return List.of(SLACK);
    }

    static Optional<Policy> parse(String name) {
        return all().stream().filter(each -> each.name().equals(name)).findFirst();
    }
}
