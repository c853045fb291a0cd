package org.magnoliavane.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Checks the targets of the policy slack, in most tests on shorter runs than the full benchmark. */
public class BenchmarkTest {
    private static final long SEED = 1;
    private static final double MIN_SHARE_OF_BOUND = 0.9;
    private static final double MAX_WASTED_SHARE = 0.01;
    private static final double MAX_WASTED_SHARE_WITH_FAULTS = 0.05;
    private static final int DURATION_DIVISOR = 6;
    private static final Map<String, RunResult> RUNS = new HashMap<>();
    private static final Map<String, Double> BOUNDS = new HashMap<>();

    @DataProvider
    public Object[][] everyLoad() {
        List<Object[]> cases = new ArrayList<>();
        for (Deployment each : List.of(Deployment.createWellenbund(), Deployment.createFailte())) {
            Main.LOADS.forEach(load -> cases.add(new Object[] {each.name(), load}));
        }
        return cases.toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] capacityAndAbove() {
        return new Object[][] {
            {"wellenbund", 1.0},
            {"wellenbund", 1.2},
            {"wellenbund", 2.0},
            {"failte", 1.0},
            {"failte", 1.2},
            {"failte", 2.0}
        };
    }

    @DataProvider
    public Object[][] deploymentsAndFaults() {
        List<Object[]> cases = new ArrayList<>();
        for (FaultScenario each : FaultScenario.values()) {
            cases.add(new Object[] {"wellenbund", each});
            cases.add(new Object[] {"failte", each});
        }
        return cases.toArray(Object[][]::new);
    }

    /** Guards against a loss of goodput at and above capacity. */
    @Test(dataProvider = "capacityAndAbove")
    public void goodputReachesNineTenthsOfTheBound(String name, double load) {
        checkShareOfBound(name, load);
    }

    /** Guards against a decrease of goodput under overload. */
    @Test
    public void goodputDoesNotFallAsLoadGrowsPastCapacity() {
        for (String name : List.of("wellenbund", "failte")) {
            double previous = 0;
            for (double load : List.of(1.0, 1.2, 2.0)) {
                long good = runSlack(name, load, FaultScenario.NONE).countGood();
                assertTrue(good >= previous, name + " at " + load + ": " + good + " after " + previous);
                previous = good;
            }
        }
    }

    /** Guards against prefills whose results are not used, and against decode memory that is not released. */
    @Test(dataProvider = "everyLoad")
    public void atMostOnePercentOfPrefillIsWastedWithoutFaults(String name, double load) {
        RunResult result = runSlack(name, load, FaultScenario.NONE);
        assertTrue(result.getWastedShare() <= MAX_WASTED_SHARE, "wasted " + result.getWastedShare());
        assertEquals(result.unreleasedPieces(), 0);
    }

    /** Guards against prefill results that are discarded after faults, and against memory that is not released. */
    @Test(dataProvider = "deploymentsAndFaults")
    public void atMostFivePercentOfPrefillIsWastedWithFaults(String name, FaultScenario faults) {
        RunResult result = runSlack(name, 1.0, faults);
        assertTrue(result.getWastedShare() <= MAX_WASTED_SHARE_WITH_FAULTS, "wasted " + result.getWastedShare());
        assertEquals(result.unreleasedPieces(), 0);
    }

    /** Guards against starvation of the class patient by the other price classes. */
    @Test(dataProvider = "everyLoad")
    public void noPatientRequestWaitsLongerThanItsMaximum(String name, double load) {
        long exceeded = runSlack(name, load, FaultScenario.NONE).outcomes().stream()
                .filter(each -> each.job.priceClass().name().equals("patient"))
                .filter(Outcome::hasExceededMaxWait)
                .count();
        assertEquals(exceeded, 0);
    }

    /** Guards against a change after which a simpler policy has more goodput or less waste. */
    @Test(dataProvider = "everyLoad")
    public void slackHasMoreGoodputAndNoMoreWasteThanEveryBaseline(String name, double load) {
        RunResult slack = runSlack(name, load, FaultScenario.NONE);
        for (Policy each : Policies.getBaselines()) {
            RunResult other = runOnce(each, name, load, FaultScenario.NONE);
            assertTrue(slack.countGood() > other.countGood(), each.name() + " has goodput " + other.countGood());
            assertTrue(
                    slack.getWastedShare() <= other.getWastedShare(),
                    each.name() + " wastes " + other.getWastedShare());
        }
    }

    /** Guards against offered attempts that receive no decision or more than one. A request may have two attempts. */
    @Test(dataProvider = "everyLoad")
    public void eachAttemptIsDecidedOnceWithoutFaults(String name, double load) {
        for (Outcome each : runSlack(name, load, FaultScenario.NONE).outcomes()) {
            boolean retried = each.decisionCount == 2 && !each.isRefused();
            assertTrue(each.decisionCount == 1 || retried, each.job + " has " + each.decisionCount + " decisions");
        }
    }

    /** Guards against results that differ between runs with the same seed. */
    @Test
    public void theSameSeedGivesTheSameFigures() {
        Deployment deployment = Deployment.createWellenbund();
        RunResult first = Simulation.run(deployment, Policies.SLACK, 1.2, 7, 20, FaultScenario.ALL);
        RunResult second = Simulation.run(deployment, Policies.SLACK, 1.2, 7, 20, FaultScenario.ALL);
        assertEquals(second.countGood(), first.countGood());
        assertEquals(second.prefillBusyMicros(), first.prefillBusyMicros());
        assertEquals(second.wastedPrefillMicros(), first.wastedPrefillMicros());
    }

    /** Guards against a bound that is too low, which shows when a policy exceeds it. */
    @Test(dataProvider = "everyLoad")
    public void noPolicyExceedsTheBound(String name, double load) {
        double bound = computeBound(name, load);
        for (Policy each : Policies.getAll()) {
            assertTrue(runOnce(each, name, load, FaultScenario.NONE).countGood() <= bound + 1e-6, each.name());
        }
    }

    private static void checkShareOfBound(String name, double load) {
        Deployment deployment = Deployment.findByName(name).orElseThrow();
        // Requests of the class patient near the end of a run compete with no later arrivals, and the bound makes full
        // use of this. A run of full length keeps the effect small.
        int seconds = deployment.seconds();
        List<Job> jobs = Workload.generate(deployment, load, SEED, seconds);
        RunResult result = new Simulation(deployment, Policies.SLACK, jobs, SEED, seconds, FaultScenario.NONE).run();
        double share = result.countGood() / GoodputBound.compute(deployment, jobs);
        assertTrue(share >= MIN_SHARE_OF_BOUND, "share of the bound " + share);
    }

    private static double computeBound(String name, double load) {
        return BOUNDS.computeIfAbsent(name + load, key -> {
            Deployment deployment = Deployment.findByName(name).orElseThrow();
            return GoodputBound.compute(deployment, Workload.generate(deployment, load, SEED, getSeconds(deployment)));
        });
    }

    private static RunResult runSlack(String name, double load, FaultScenario faults) {
        return runOnce(Policies.SLACK, name, load, faults);
    }

    private static RunResult runOnce(Policy policy, String name, double load, FaultScenario faults) {
        return RUNS.computeIfAbsent(policy.name() + name + load + faults, key -> {
            Deployment deployment = Deployment.findByName(name).orElseThrow();
            return Simulation.run(deployment, policy, load, SEED, getSeconds(deployment), faults);
        });
    }

    private static int getSeconds(Deployment deployment) {
        return deployment.seconds() / DURATION_DIVISOR;
    }
}
