package org.magnoliavane.node.keyed;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

import org.magnoliavane.ExecutionStatus;
import org.magnoliavane.Fault;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

/**
 * Sends requests with repeated keys in a simulation with lost messages, pauses, crashes and log outages, and verifies
 * that no key is executed twice and that the results of callers are consistent with the executions.
 */
public class AtMostOnceModelTest {
    private static final int SEEDS = 1000;
    private static final long SEED_STEP = 0x9E3779B97F4A7C15L;

    private final Map<String, Integer> outcomeCounts = new HashMap<>();

    @Test
    public void noKeyIsExecutedTwiceOrAfterBeingReportedAsNotRun() {
        for (long seed = 0; seed < SEEDS; seed++) {
            verify(seed, simulate(seed));
        }
        // Guards against a simulation that does not reach the cases to be tested.
        for (String event : new String[] {
            "answered",
            "NO OVERLOADED",
            "NO UNAVAILABLE",
            "NO LOG_UNAVAILABLE",
            "NO KEY_CONFLICT",
            "NO DEADLINE_EXCEEDED",
            "UNKNOWN LOG_UNAVAILABLE",
            "UNKNOWN OWNER_UNREACHABLE",
            "UNKNOWN IN_PROGRESS",
            "UNKNOWN EXPIRED_KEY"
        }) {
            assertTrue(outcomeCounts.getOrDefault(event, 0) > 0, event + " never happened: " + outcomeCounts);
        }
    }

    private KeyedSimulation simulate(long seed) {
        // Spreads the seeds, because java.util.Random returns similar first numbers for small seeds.
        Random plan = new Random(seed * SEED_STEP);
        KeyedSimulation simulation = new KeyedSimulation(plan.nextLong(), 4, plan.nextInt(8) == 0 ? 1 : 1000);
        for (int i = 0; i < 8; i++) {
            int number = i;
            simulation.scheduleAfter(plan.nextInt(4000), () -> startCaller(simulation, number));
        }
        boolean crashes = plan.nextInt(3) > 0;
        for (int i = 0; i < 4; i++) {
            simulation.scheduleAfter(plan.nextInt(8000), () -> simulation.pauseRandomNode(plan.nextInt(4000)));
            if (crashes && i < 2) {
                simulation.scheduleAfter(plan.nextInt(8000), () -> simulation.crashRandomNode(plan.nextInt(3000)));
            }
        }
        if (plan.nextBoolean()) {
            long begin = plan.nextInt(6000);
            simulation.scheduleAfter(begin, () -> simulation.setOutage(true));
            simulation.scheduleAfter(begin + plan.nextInt(5000), () -> simulation.setOutage(false));
        }
        simulation.run();
        return simulation;
    }

    private static void startCaller(KeyedSimulation simulation, int number) {
        Random random = simulation.getRandom();
        String key = random.nextBoolean() ? simulation.issueToken() + "/" + number : "plain-" + number;
        int sends = 1 + random.nextInt(6);
        for (int i = 0; i < sends; i++) {
            String content = random.nextInt(12) == 0 ? "other" : "content";
            long timeout = random.nextInt(10) == 0 ? 0 : 100 + random.nextInt(4000);
            // Some requests come after run tokens have expired and key tables have evicted the key.
            long delayMillis =
                    random.nextInt(15) == 0 ? 13 * 60_000L + random.nextInt(5 * 60_000) : random.nextInt(6000);
            simulation.scheduleAfter(delayMillis, () -> simulation.send(key, content, timeout));
        }
    }

    private void verify(long seed, KeyedSimulation simulation) {
        String where = "seed " + seed;
        Map<String, KeyedSimulation.Execution> executions = new HashMap<>();
        for (KeyedSimulation.Execution execution : simulation.getExecutions()) {
            assertNull(executions.put(execution.key(), execution), where + ", key " + execution.key() + " ran twice");
        }
        Map<String, String> bodies = new HashMap<>();
        for (KeyedSimulation.RequestResult result : simulation.getResults()) {
            if (result.result().isRight()) {
                String body = new String(result.result().get().body(), StandardCharsets.UTF_8);
                String first = bodies.computeIfAbsent(result.key(), key -> body);
                assertEquals(body, first, where + ", answers of key " + result.key());
                outcomeCounts.merge("answered", 1, Integer::sum);
                continue;
            }
            Fault fault = result.result().getLeft();
            outcomeCounts.merge(fault.ran() + " " + fault.kind(), 1, Integer::sum);
            KeyedSimulation.Execution execution = executions.get(result.key());
            if (fault.ran() == ExecutionStatus.NO && execution != null) {
                assertTrue(
                        isConsistent(fault, result, execution),
                        where + ", " + execution + " was answered with " + fault);
            }
        }
    }

    private static boolean isConsistent(
            Fault fault, KeyedSimulation.RequestResult result, KeyedSimulation.Execution execution) {
        return switch (fault.kind()) {
            // States only that this request content was not executed.
            case KEY_CONFLICT -> !execution.content().equals(result.content());
            // States that no request sent so far was or will be executed. A node that starts later does not know that
            // the
            // key was voided and may execute a request that is sent after this result.
            case LOG_UNAVAILABLE -> execution.sentMillis() > result.atMillis();
            default -> false;
        };
    }
}
