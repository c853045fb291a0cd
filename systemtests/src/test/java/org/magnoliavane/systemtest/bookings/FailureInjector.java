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
 * Brings about failures of nodes, booking services and the log service at points that a seed draws, until it is closed.
 * Closing ends all failures.
 */
final class FailureInjector implements AutoCloseable {
    private static final long END_MILLIS = 40_000;

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
                thread("node-failures", new Random(seed), this::failNode),
                thread("service-failures", new Random(seed + 1), this::failService),
                thread("log-failures", new Random(seed + 2), this::failLog));
    }

    static FailureInjector start(LocalDeployment deployment, BookingServices services, long seed) {
        FailureInjector injector = new FailureInjector(deployment, services, seed);
        injector.threads.forEach(Thread::start);
        return injector;
    }

    /** Gets how often each failure was brought about. */
    synchronized Map<String, Integer> getCounts() {
        return new TreeMap<>(counts);
    }

    @Override
    public void close() throws Exception {
        stopped = true;
        for (Thread thread : threads) {
            TimeUnit.MILLISECONDS.timedJoin(thread, END_MILLIS);
        }
        if (failure != null) {
            throw new IllegalStateException("a failure could not be brought about", failure);
        }
    }

    private Thread thread(String name, Random random, Step step) {
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

    private synchronized void count(String name) {
        counts.merge(name, 1, Integer::sum);
    }

    private void failNode(Random random) throws IOException {
        Pauses.sleepBetween(random, 100, 600);
        String first = nodes.get(random.nextInt(nodes.size()));
        String second = nodes.get((nodes.indexOf(first) + 1) % nodes.size());
        int kind = random.nextInt(10);
        if (kind < 5) {
            pause(first);
            Pauses.sleepBetween(random, 100, 2500);
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
        count("node paused");
        deployment.getProcess(node).pause();
    }

    /** Kills a node; half of the time the VM list goes on to name it. */
    private void kill(String node, Random random) {
        count("node killed");
        if (random.nextBoolean()) {
            deployment.killNode(node);
        } else {
            deployment.getProcess(node).kill();
        }
        Pauses.sleepBetween(random, 100, 1000);
    }

    private void failService(Random random) throws IOException {
        Pauses.sleepBetween(random, 50, 250);
        String id = services.getIds().get(random.nextInt(services.getIds().size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                count("answers delayed");
                control(id, Map.of("delay_millis", 50 + random.nextInt(350)));
                Pauses.sleepBetween(random, 100, 400);
                control(id, Map.of("delay_millis", 0));
            }
            case 1 -> {
                count("answers dropped");
                control(id, Map.of("drop_next", 1 + random.nextInt(10)));
            }
            case 2 -> {
                count("all answers dropped for a time");
                control(id, Map.of("drop_answers", true));
                Pauses.sleepBetween(random, 50, 200);
                control(id, Map.of("drop_answers", false));
            }
            default -> {
                count("service crashed");
                control(id, Map.of("crash_next", random.nextBoolean() ? "before" : "after"));
                Pauses.sleepBetween(random, 100, 400);
                services.restart(id);
            }
        }
    }

    private void failLog(Random random) {
        Pauses.sleepBetween(random, 200, 800);
        switch (random.nextInt(3)) {
            case 0 -> {
                count("log outage");
                control("log", Map.of("outage", true));
                Pauses.sleepBetween(random, 200, 1500);
                control("log", Map.of("outage", false));
            }
            case 1 -> {
                count("append answers lost");
                control("log", Map.of("lose_next", 1 + random.nextInt(8)));
            }
            default -> {
                count("log slow");
                control("log", Map.of("slow_millis", 50 + random.nextInt(400)));
                Pauses.sleepBetween(random, 200, 800);
                control("log", Map.of("slow_millis", 0));
            }
        }
    }

    private void control(String id, Map<String, ?> faults) {
        try {
            deployment.getEndpoint(id).control(faults);
        } catch (UncheckedIOException e) {
            // A booking service that has crashed takes no faults; its restart clears them.
            if (id.equals("log")) {
                throw e;
            }
        }
    }

    /** Brings about one failure and ends it. */
    private interface Step {
        void run(Random random) throws IOException;
    }
}
