package org.magnoliavane.systemtest.bookings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.systemtest.LocalDeployment;

/**
 * Injects failures of nodes, booking services and the log service at times drawn from a seed, until it is closed.
 * Closing ends all failures.
 *
 * <p>Thread-safe.
 */
final class FailureInjector implements AutoCloseable {
    private static final long JOIN_TIMEOUT_MILLIS = 40_000;

    private final LocalDeployment deployment;
    private final BookingServices services;
    private final List<String> nodes;
    private final Map<String, Integer> counts = new TreeMap<>();
    private final List<Thread> threads;
    private volatile boolean stopped;
    private volatile Throwable failure;

    private FailureInjector(LocalDeployment deployment, BookingServices services, long seed) {
        this.deployment = deployment;
        this.services = services;
        nodes = deployment.getNodes();
        threads = List.of(
                createThread("node-failures", new Random(seed), this::failNode),
                createThread("service-failures", new Random(seed + 1), this::failService),
                createThread("log-failures", new Random(seed + 2), this::failLog));
    }

    static FailureInjector start(LocalDeployment deployment, BookingServices services, long seed) {
        FailureInjector injector = new FailureInjector(deployment, services, seed);
        injector.threads.forEach(Thread::start);
        return injector;
    }

    /** Gets the number of injected failures by name. */
    synchronized Map<String, Integer> getCounts() {
        return new TreeMap<>(counts);
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        for (Thread thread : threads) {
            TimeUnit.MILLISECONDS.timedJoin(thread, JOIN_TIMEOUT_MILLIS);
        }
        if (failure != null) {
            throw new IllegalStateException("a failure could not be injected", failure);
        }
    }

    private Thread createThread(String name, Random random, FailureStep step) {
        Thread thread = new Thread(
                () -> {
                    try {
                        while (!stopped) {
                            step.run(random);
                        }
                    } catch (IOException | RuntimeException e) {
                        failure = e;
                    }
                },
                name);
        thread.setDaemon(true);
        return thread;
    }

    private synchronized void countFailure(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    private void failNode(Random random) throws IOException {
        Sleeps.sleepBetween(random, 100, 600);
        String first = nodes.get(random.nextInt(nodes.size()));
        String second = nodes.get((nodes.indexOf(first) + 1) % nodes.size());
        int kind = random.nextInt(10);
        if (kind < 5) {
            pause(first);
            Sleeps.sleepBetween(random, 100, 2500);
            deployment.getProcess(first).resume();
        } else if (kind < 8) {
            kill(first, random);
            deployment.restartNode(first);
        } else {
            pause(first);
            kill(second, random);
            deployment.getProcess(first).resume();
            deployment.restartNode(second);
        }
    }

    private void pause(String node) {
        countFailure("node paused");
        deployment.getProcess(node).pause();
    }

    /** Kills a node. In half of the cases it stays in the VM list. */
    private void kill(String node, Random random) {
        countFailure("node killed");
        if (random.nextBoolean()) {
            deployment.killNode(node);
        } else {
            deployment.getProcess(node).kill();
        }
        Sleeps.sleepBetween(random, 100, 1000);
    }

    private void failService(Random random) throws IOException {
        Sleeps.sleepBetween(random, 50, 250);
        String id = services.getIds().get(random.nextInt(services.getIds().size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                countFailure("answers delayed");
                setFaults(id, Map.of("delay_millis", 50 + random.nextInt(350)));
                Sleeps.sleepBetween(random, 100, 400);
                setFaults(id, Map.of("delay_millis", 0));
            }
            case 1 -> {
                countFailure("answers dropped");
                setFaults(id, Map.of("drop_next", 1 + random.nextInt(10)));
            }
            case 2 -> {
                countFailure("all answers dropped for a time");
                setFaults(id, Map.of("drop_answers", true));
                Sleeps.sleepBetween(random, 50, 200);
                setFaults(id, Map.of("drop_answers", false));
            }
            default -> {
                countFailure("service crashed");
                setFaults(id, Map.of("crash_next", random.nextBoolean() ? "before" : "after"));
                Sleeps.sleepBetween(random, 100, 400);
                services.restart(id);
            }
        }
    }

    private void failLog(Random random) {
        Sleeps.sleepBetween(random, 200, 800);
        switch (random.nextInt(3)) {
            case 0 -> {
                countFailure("log outage");
                setFaults("log", Map.of("outage", true));
                Sleeps.sleepBetween(random, 200, 1500);
                setFaults("log", Map.of("outage", false));
            }
            case 1 -> {
                countFailure("append answers lost");
                setFaults("log", Map.of("lose_next", 1 + random.nextInt(8)));
            }
            default -> {
                countFailure("log slow");
                setFaults("log", Map.of("slow_millis", 50 + random.nextInt(400)));
                Sleeps.sleepBetween(random, 200, 800);
                setFaults("log", Map.of("slow_millis", 0));
            }
        }
    }

    private void setFaults(String id, Map<String, ?> faults) {
        try {
            deployment.getEndpoint(id).setFaults(faults);
        } catch (UncheckedIOException e) {
            // A crashed booking service accepts no faults, and its restart clears them.
            if (id.equals("log")) {
                throw e;
            }
        }
    }

    /** Injects one failure and ends it. */
    private interface FailureStep {
        void run(Random random) throws IOException;
    }
}
