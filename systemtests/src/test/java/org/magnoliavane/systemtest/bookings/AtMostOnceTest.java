package org.magnoliavane.systemtest.bookings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.bookings.KeyRecord.Outcome;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests under failures that no booking or payment runs twice, or runs after a caller was told that it did not run. */
public class AtMostOnceTest {
    private static final System.Logger LOG = System.getLogger(AtMostOnceTest.class.getName());
    private static final long SEED = Long.getLong("bookings.seed", 20_261_204);
    private static final int KEYS = 10_000;
    private static final int THREADS = 80;
    private static final long TIMEOUT_MILLIS = 90_000;
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");

    private LocalDeployment deployment;
    private BookingServices services;

    @BeforeClass
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/at-most-once"));
        deployment = LocalDeployment.start(DeploymentSpec.wellenbund().withProcesses(3, 1, 1, 3), launcher);
        services = BookingServices.replaceProcesses(deployment);
    }

    @AfterClass(alwaysRun = true)
    public void stopDeployment() {
        if (services != null) {
            services.close();
        }
        if (deployment != null) {
            deployment.close();
        }
    }

    @Test
    public void noKeyRunsTwiceOrAfterAResponseThatItDidNotRun() throws Exception {
        KnownAddresses addresses = new KnownAddresses(deployment);
        Random random = new Random(SEED);
        addresses.refresh(random);
        ScheduledExecutorService refreshes = Executors.newSingleThreadScheduledExecutor();
        refreshes.scheduleWithFixedDelay(() -> addresses.refresh(random), 300, 300, TimeUnit.MILLISECONDS);
        Map<String, KeyRecord> records;
        FailureInjector failures = FailureInjector.start(deployment, services, SEED);
        try (failures) {
            records = new KeyedCallers(deployment, addresses, SEED).run(KEYS, THREADS, TIMEOUT_MILLIS);
        } finally {
            refreshes.shutdownNow();
        }
        // A node that was paused may still process a request, until the deadline of 2 s ends it.
        Sleeps.sleep(2500);
        verifyRecords(records, services.getRuns(), failures.getCounts());
    }

    private static void verifyRecords(
            Map<String, KeyRecord> records, Map<String, Integer> runs, Map<String, Integer> failures) {
        logOutcomes(records, runs, failures);
        assertNone("ran twice", records, key -> runs.getOrDefault(key, 0) > 1);
        assertNone(
                "ran although a caller was told that it did not",
                records,
                key -> records.get(key).hasOutcome(Outcome.NO) && runs.containsKey(key));
        assertNone(
                "never ran although a caller got a receipt",
                records,
                key -> records.get(key).hasOutcome(Outcome.YES) && !runs.containsKey(key));
        assertNone("has different receipts", records, key -> records.get(key).countReceipts() > 1);
        assertNone(
                "has the receipt of another key",
                records,
                key -> records.get(key).hasForeignReceipt());
        assertTrue(records.keySet().containsAll(runs.keySet()), "a key ran that no caller sent");
        assertEquals(records.size(), KEYS);
        long booked = records.values().stream()
                .filter(r -> r.getFinalOutcome() == Outcome.YES)
                .count();
        assertTrue(booked > KEYS / 2, "only " + booked + " keys were booked, too few for the other checks");
        assertTrue(
                failures.keySet().containsAll(List.of("node killed", "node paused", "service crashed", "log outage")),
                "failures injected: " + failures);
    }

    private static void assertNone(String fault, Map<String, KeyRecord> records, Predicate<String> isFaulty) {
        List<String> found = records.keySet().stream().filter(isFaulty).toList();
        List<String> examples =
                found.stream().limit(5).map(key -> key + " " + records.get(key)).toList();
        assertTrue(found.isEmpty(), found.size() + " keys: each " + fault + ", for example " + examples);
    }

    private static void logOutcomes(
            Map<String, KeyRecord> records, Map<String, Integer> runs, Map<String, Integer> failures) {
        Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
        records.values().forEach(r -> outcomes.merge(r.getFinalOutcome(), 1, Integer::sum));
        int sentCount =
                records.values().stream().mapToInt(KeyRecord::getSentCount).sum();
        long unknownButRun = records.entrySet().stream()
                .filter(e -> e.getValue().getFinalOutcome().compareTo(Outcome.NO) > 0 && runs.containsKey(e.getKey()))
                .count();
        LOG.log(
                System.Logger.Level.INFO,
                "{0} keys in {1} requests, final outcomes {2}; {3} of those with an unknown outcome ran; failures {4}",
                records.size(),
                sentCount,
                outcomes,
                unknownButRun,
                failures);
    }
}
