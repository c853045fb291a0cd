package org.magnoliavane.poison;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import org.magnoliavane.poison.PoisonSimulation.Load;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

/**
 * Tests in virtual time that requests with a part that crashes workers are stopped, and that sound requests beside them go on.
 * Pattern: a part shared by requests of which no two are alike, at small and large fleets.
 */
public class PoisonLoadTest {
    /** Largest number of requests with a part that may reach workers later than the contact time after the fifth crash. */
    private static final int MAX_LATE = 3;

    private static final double MIN_SOUND_SHARE = 0.5;
    private static final int SEEDS = Integer.getInteger("poison.load.seeds", 3);

    @DataProvider
    public Iterator<Object[]> loads() {
        List<Object[]> loads = new ArrayList<>();
        for (boolean large : new boolean[] {false, true}) {
            String fleet = large ? "95 nodes, 56 workers: " : "7 nodes, 8 workers: ";
            add(loads, fleet + "the second of two parts", large, l -> {});
            add(loads, fleet + "the first part", large, l -> {
                l.guilty = Set.of(2L);
                l.poisonParts = r -> List.of(2L, 2000L + r.nextInt(30));
            });
            add(loads, fleet + "the third of four parts", large, l -> {
                l.guilty = Set.of(7000L);
                l.poisonParts = r -> List.of(1L, 700L, 7000L, 70_000L + r.nextInt(50));
            });
            for (double share : new double[] {0.01, 0.5}) {
                add(loads, fleet + share + " of the traffic", large, l -> {
                    l.poisonShare = share;
                    l.seconds = share < 0.1 ? 120 : 40;
                });
            }
            add(loads, fleet + "crashes of other causes", large, l -> l.otherCrashesPerSecond = large ? 3 : 0.5);
            add(loads, fleet + "two parts at once", large, l -> {
                l.guilty = Set.of(666L, 667L);
                l.poisonParts = r -> List.of(1L, r.nextBoolean() ? 666L : 667L);
            });
            add(loads, fleet + "crash after a few events", large, l -> l.crashAfterMillis = 250);
            add(loads, fleet + "crash after two seconds of the answer", large, l -> l.crashAfterMillis = 2000);
            add(loads, fleet + "a third of the reports is lost, others are late", large, l -> {
                l.lossShare = 0.33;
                l.delayMillis = 400;
            });
            add(loads, fleet + "a node starts again", large, l -> l.restartNodeAtMillis = 15_000);
            add(loads, fleet + "a node is cut off", large, l -> {
                l.cutNodeFromMillis = 3000;
                l.cutNodeToMillis = 15_000;
            });
            add(loads, fleet + "the witness of each other crash is lost", large, l -> l.killWitness = true);
            add(loads, fleet + "the part stops coming", large, l -> l.poisonToMillis = 8000);
            add(loads, fleet + "ten thousand parts a minute", large, l -> {
                l.soundParts = 1_000_000;
                l.requestsPerSecond = 170;
                l.poisonShare = 0.01;
                l.meanAnswerMillis = large ? 1500 : 800;
            });
            add(loads, fleet + "a caller names the parts of others", large, l -> {
                l.guilty = Set.of(666L);
                l.poisonParts = r -> List.of(1L, 1000L + r.nextInt(5), 666L);
            });
        }
        return loads.iterator();
    }

    private static void add(List<Object[]> loads, String name, boolean large, Consumer<Load> change) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            Load load = new Load();
            if (large) {
                load.nodes = 95;
                load.workers = 56;
                load.slots = 16;
                load.requestsPerSecond = 60;
            }
            change.accept(load);
            loads.add(new Object[] {name, seed, load});
        }
    }

    /** Guards against workers that end one after the other under one part, and against sound requests refused beside it. */
    @Test(dataProvider = "loads")
    public void requestsWithAPartThatCrashesWorkersAreStoppedAndSoundOnesGoOn(String name, int seed, Load load) {
        PoisonSimulation run = new PoisonSimulation(load, seed).play();
        String result = name + ", seed " + seed + ": " + run.summarize();
        System.out.println(result);
        assertTrue(run.countLate() <= MAX_LATE, result);
        assertTrue(run.getSoundShare() >= MIN_SOUND_SHARE, result);
    }

    /** Guards against a part that stays refused after it was repaired. */
    @Test
    public void aRepairedPartIsServedAgainAfterATrial() {
        Load load = new Load();
        load.repairedAtMillis = 20_000;
        load.seconds = 120;
        load.poisonFromMillis = 0;
        PoisonSimulation run = new PoisonSimulation(load, 1).play();
        assertTrue(run.getPoisonShareSince(80_000) > 0.9, run.summarize());
    }

    /** Guards against sound parts refused where workers crash for reasons of their own. */
    @Test
    public void workersThatCrashByThemselvesConvictNoPartForLong() {
        Load load = new Load();
        load.poisonShare = 0;
        load.otherCrashesPerSecond = 1;
        load.soundParts = 300;
        load.seconds = 120;
        PoisonSimulation run = new PoisonSimulation(load, 1).play();
        assertTrue(run.getSoundShare() > 0.95, run.summarize());
    }
}
