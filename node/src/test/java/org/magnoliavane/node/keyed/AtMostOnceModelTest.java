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

/** Interleaves repeated requests with faults of every kind, and checks what backend servers and callers saw. */
public class AtMostOnceModelTest {
    private static final int SEEDS = 1000;
    private static final long SEED_STEP = 0x9E3779B97F4A7C15L;

    private final Map<String, Integer> seen = new HashMap<>();

    @Test
    public void noKeyRunsTwiceAndNoneThatIsAnsweredAsNotRunEverRan() {
        for (long seed = 0; seed < SEEDS; seed++) {
            check(seed, simulate(seed));
        }
        // Guards against a model in which nothing happens.
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
            assertTrue(seen.getOrDefault(event, 0) > 0, event + " never happened: " + seen);
        }
    }

    private KeyedSimulation simulate(long seed) {
        // Small seeds give almost the same first numbers.
        Random plan = new Random(seed * SEED_STEP);
        KeyedSimulation world = new KeyedSimulation(plan.nextLong(), 4, plan.nextInt(8) == 0 ? 1 : 1000);
        for (int i = 0; i < 8; i++) {
            int number = i;
            world.at(plan.nextInt(4000), () -> startCaller(world, number));
        }
        boolean deaths = plan.nextInt(3) > 0;
        for (int i = 0; i < 4; i++) {
            world.at(plan.nextInt(8000), () -> world.pause(plan.nextInt(4000)));
            if (deaths && i < 2) {
                world.at(plan.nextInt(8000), () -> world.kill(plan.nextInt(3000)));
            }
        }
        if (plan.nextBoolean()) {
            long begin = plan.nextInt(6000);
            world.at(begin, () -> world.setOutage(true));
            world.at(begin + plan.nextInt(5000), () -> world.setOutage(false));
        }
        world.run();
        return world;
    }

    private static void startCaller(KeyedSimulation world, int number) {
        Random random = world.getRandom();
        String key = random.nextBoolean() ? world.issueToken() + "/" + number : "plain-" + number;
        int sends = 1 + random.nextInt(6);
        for (int i = 0; i < sends; i++) {
            String content = random.nextInt(12) == 0 ? "other" : "content";
            long timeout = random.nextInt(10) == 0 ? 0 : 100 + random.nextInt(4000);
            // Late enough that run tokens have expired and key tables have forgotten the key.
            long late = random.nextInt(15) == 0 ? 13 * 60_000L + random.nextInt(5 * 60_000) : random.nextInt(6000);
            world.at(late, () -> world.send(key, content, timeout));
        }
    }

    private void check(long seed, KeyedSimulation world) {
        String where = "seed " + seed;
        Map<String, KeyedSimulation.Run> runs = new HashMap<>();
        for (KeyedSimulation.Run run : world.getRuns()) {
            assertNull(runs.put(run.key(), run), where + ", key " + run.key() + " ran twice");
        }
        Map<String, String> bodies = new HashMap<>();
        for (KeyedSimulation.Answer answer : world.getAnswers()) {
            if (answer.result().isRight()) {
                String body = new String(answer.result().get().body(), StandardCharsets.UTF_8);
                String first = bodies.computeIfAbsent(answer.key(), key -> body);
                assertEquals(body, first, where + ", answers of key " + answer.key());
                seen.merge("answered", 1, Integer::sum);
                continue;
            }
            Fault fault = answer.result().getLeft();
            seen.merge(fault.ran() + " " + fault.kind(), 1, Integer::sum);
            KeyedSimulation.Run run = runs.get(answer.key());
            if (fault.ran() == ExecutionStatus.NO && run != null) {
                assertTrue(isTrue(fault, answer, run), where + ", " + run + " was answered with " + fault);
            }
        }
    }

    private static boolean isTrue(Fault fault, KeyedSimulation.Answer answer, KeyedSimulation.Run run) {
        return switch (fault.kind()) {
            // Says only that this content did not run.
            case KEY_CONFLICT -> !run.content().equals(answer.content());
            // Says that no copy sent so far ran or will; a node that starts later cannot know the promise.
            case LOG_UNAVAILABLE -> run.sentMillis() > answer.atMillis();
            default -> false;
        };
    }
}
