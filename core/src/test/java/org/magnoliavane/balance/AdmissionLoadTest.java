package org.magnoliavane.balance;

import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

import org.magnoliavane.balance.AdmissionSimulation.Kind;
import org.magnoliavane.balance.AdmissionSimulation.Load;
import org.magnoliavane.balance.AdmissionSimulation.Result;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests the admission of three classes of streams at many nodes under bursts, in virtual time. */
public class AdmissionLoadTest {
    private static final int SEEDS = Integer.getInteger("admission.load.seeds", 2);

    /** The stream classes of deployment P; the limits leave time for prefill and first event. */
    private static final List<Kind> CLASSES = List.of(
            new Kind(0, 13.4, 600, 2900, 12, 0.94, 5244),
            new Kind(1, 17.7, 800, 3700, 6.3, 1.2, 5244),
            new Kind(2, 18.9, 1800, 7700, 3.1, 0.93, 5244));

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{7}, {24}, {66}, {95}};
    }

    /** Pattern: the most urgent class behind less urgent work, at 2.3 times the load of all classes for 5 s. */
    @Test(dataProvider = "fleets")
    public void theMostUrgentClassIsServedFirstInABurst(int nodes) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Load load = create(nodes, seed, l -> l.burstFactors = new double[] {2.3, 2.3, 2.3});
            Result ordered = play("burst", load);
            load.ordered = false;
            load.refuses = false;
            Result polling = play("burst, polling", load);
            assertTrue(ordered.getOnTimeShare(0) >= 0.9, "urgent on time: " + ordered.getOnTimeShare(0));
            assertTrue(ordered.value >= polling.value, ordered.value + " against " + polling.value);
            assertEquals(ordered.tokensLeft, 0, "tokens reserved at the end");
        }
    }

    /** Pattern: one class at 2.6 times its load. */
    @Test(dataProvider = "fleets")
    public void aBurstOfTheLeastUrgentClassDelaysNoOther(int nodes) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Result result = play("one class", create(nodes, seed, l -> l.burstFactors = new double[] {1, 1, 2.6}));
            assertTrue(result.getOnTimeShare(0) >= 0.95, "urgent on time: " + result.getOnTimeShare(0));
            assertTrue(result.getOnTimeShare(1) >= 0.9, "second class on time: " + result.getOnTimeShare(1));
        }
    }

    /** Pattern: large requests starved by small ones of the same urgency, which exceed the memory. */
    @Test
    public void largeRequestsAreNotStarvedBySmallOnes() {
        List<Kind> kinds =
                List.of(new Kind(0, 450, 800, 3700, 1, 0.2, 5244), new Kind(0, 2, 1800, 7700, 1, 0.2, 30_000));
        Result result = play("large and small", create(66, 1, l -> {
            l.kinds = kinds;
            l.meanMillis = 800;
            l.endMillis = 12_000;
        }));
        assertTrue(
                result.onTime[1] + result.late[1] >= 0.8 * result.arrived[1],
                "large requests served: " + (result.onTime[1] + result.late[1]) + " of " + result.arrived[1]);
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {{7, false}, {7, true}, {66, false}, {66, true}};
    }

    /** Pattern: owners killed, or frozen for 2 s, in the middle of a burst. */
    @Test(dataProvider = "failures")
    public void aLostOwnerCostsLittleAndLeaksNothing(int nodes, boolean frozen) {
        Load load = create(nodes, 1, l -> l.burstFactors = new double[] {2.3, 2.3, 2.3});
        Result sound = play("no failure", load);
        load.lostOwners = Math.max(1, nodes / 20);
        load.frozen = frozen;
        Result result = play(frozen ? "owners frozen" : "owners killed", load);
        assertTrue(result.value >= 0.8 * sound.value, result.value + " against " + sound.value);
        assertEquals(result.tokensLeft, 0, "tokens reserved at the end");
    }

    /**
     * Guards against messages that grow with the number of nodes. At 7 nodes there are fewer, because only four requests of
     * each node ask at a time, which is not all that wait there.
     */
    @Test
    public void theMessagesForADecisionDoNotGrowWithTheNodes() {
        double least = Double.POSITIVE_INFINITY;
        for (int nodes : new int[] {7, 24, 66, 95}) {
            double messages = play("messages", create(nodes, 1, l -> l.burstFactors = new double[] {2.3, 2.3, 2.3}))
                    .getMessagesPerDecision(nodes);
            assertTrue(messages <= 40, nodes + " nodes: " + messages);
            assertTrue(messages <= 1.25 * least, nodes + " nodes: " + messages + " against " + least);
            least = nodes == 7 ? least : Math.min(least, messages);
        }
    }

    /** Creates the load of deployment P at which the classes together take nine tenths of the memory outside the burst. */
    private static Load create(int nodes, int seed, Consumer<Load> change) {
        Load load = new Load();
        load.nodes = nodes;
        load.seed = seed;
        load.kinds = CLASSES;
        change.accept(load);
        return load;
    }

    private static Result play(String name, Load load) {
        Result r = AdmissionSimulation.play(load);
        System.out.printf(
                "admission %s: nodes=%d seed=%d value=%.3f on_time=%s late=%s refused=%s held_in_vain=%s arrived=%s"
                        + " messages_per_decision=%.1f engine_refusals=%d%n",
                name,
                load.nodes,
                load.seed,
                r.value / r.possible,
                Arrays.toString(r.onTime),
                Arrays.toString(r.late),
                Arrays.toString(r.refused),
                Arrays.toString(r.heldInVain),
                Arrays.toString(r.arrived),
                r.getMessagesPerDecision(load.nodes),
                r.engineRefusals);
        return r;
    }
}
