package org.magnoliavane.pool;

import java.util.ArrayList;
import java.util.List;

import org.magnoliavane.FaultKind;
import org.magnoliavane.WorkerRole;
import org.magnoliavane.config.ModelSettings;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class SlackSchedulerTest {
    private static final ModelSettings SETTINGS =
            new ModelSettings(List.of("m"), 2048, 10, 10_000, 30, 50_000, 800, 200, 4_000, 0.5);

    private SlackScheduler scheduler;

    @BeforeMethod
    public void createScheduler() {
        scheduler = SlackScheduler.of(SETTINGS);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
    }

    /** Guards against lost or doubled decisions, over-committed memory, shared isolation, long waits and leaks. */
    @Test(dataProvider = "seeds")
    public void randomEventsKeepTheInvariants(long seed) {
        SchedulerTrial trial = new SchedulerTrial(SETTINGS, seed);
        trial.run(1_500);
        trial.finish();
    }

    /** Guards against choices that depend on hash order or on anything but the events. */
    @Test
    public void theSameEventsGiveTheSameDecisions() {
        SchedulerTrial first = new SchedulerTrial(SETTINGS, 11);
        SchedulerTrial second = new SchedulerTrial(SETTINGS, 11);
        first.run(500);
        second.run(500);
        assertEquals(second.decisions(), first.decisions());
    }

    /** Guards against a refusal that is held back until the target has passed. */
    @Test
    public void aRequestThatCannotMeetItsTargetIsRefusedAtOnce() {
        scheduler.updateWorkers(workers(1, 1), 0);
        scheduler.offer(request("late", 9_000, 500, 400, false), 0);
        SchedulerDecision.Refuse refuse = (SchedulerDecision.Refuse) only(0);
        assertEquals(refuse.kind(), FaultKind.OVERLOADED);
        assertTrue(refuse.retryAfterMillis() > 0);
    }

    /** Guards against suspects that close the pool while they wait for workers that do not become empty. */
    @Test
    public void suspectsThatWaitForEmptyWorkersLeaveWorkersToOthers() {
        scheduler.updateWorkers(workers(3, 4), 0);
        long now = 0;
        for (int i = 0; i < 12; i++) {
            now += 500_000;
            scheduler.offer(request("running" + i, 1_000, 5_000, 4_000, false), now);
            scheduler.decide(now);
            report("running" + i, AttemptPhase.PREFILLED, now);
            report("running" + i, AttemptPhase.IMPORTED, now);
        }
        for (int i = 0; i < 3; i++) {
            scheduler.offer(request("suspect" + i, 1_000, 25_000, 25_000, true), now);
        }
        scheduler.decide(now);
        now += 500_000;
        scheduler.offer(request("other", 1_000, 5_000, 4_000, false), now);
        assertTrue(scheduler.decide(now).stream()
                .anyMatch(
                        d -> d instanceof SchedulerDecision.Start && d.attempt().equals("other")));
    }

    @Test
    public void aPoolWithoutDecodeWorkersRefusesAsUnavailable() {
        scheduler.updateWorkers(workers(1, 0), 0);
        scheduler.offer(request("a", 100, 1_000, 800, false), 0);
        assertEquals(((SchedulerDecision.Refuse) only(0)).kind(), FaultKind.UNAVAILABLE);
    }

    /** Guards against a retry time that ignores how much work waits. */
    @Test
    public void aLongerBacklogGivesALaterRetry() {
        long empty = retryAfterBehind(0);
        createScheduler();
        long busy = retryAfterBehind(8);
        assertTrue(busy > empty, busy + " must exceed " + empty);
    }

    private long retryAfterBehind(int others) {
        scheduler.updateWorkers(workers(1, 1), 0);
        for (int i = 0; i < others; i++) {
            scheduler.offer(request("other-" + i, 15_000, 60_000, 50_000, false), 0);
        }
        scheduler.offer(request("urgent", 9_000, 500, 400, false), 0);
        return scheduler.decide(0).stream()
                .filter(each -> each.attempt().equals("urgent"))
                .mapToLong(each -> ((SchedulerDecision.Refuse) each).retryAfterMillis())
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void theTighterTargetStartsFirst() {
        scheduler.updateWorkers(workers(1, 1), 0);
        scheduler.offer(request("patient", 2_000, 20_000, 15_000, false), 0);
        scheduler.offer(request("urgent", 2_000, 900, 800, false), 0);
        assertEquals(only(0).attempt(), "urgent");
    }

    /** Guards against prefills that wait in an engine, where their results would lapse behind one another. */
    @Test
    public void aPrefillIsSentOnlyShortlyBeforeItsWorkerIsFree() {
        scheduler.updateWorkers(workers(1, 1), 0);
        scheduler.offer(request("a", 2_000, 20_000, 15_000, false), 0);
        scheduler.offer(request("b", 2_000, 20_000, 15_000, false), 0);
        assertEquals(scheduler.decide(0).size(), 1);
        long wake = scheduler.getNextWakeMicros().orElseThrow();
        while (scheduler.decide(wake).isEmpty()) {
            wake = scheduler.getNextWakeMicros().orElseThrow();
        }
        assertTrue(wake >= 200_000 && wake <= 210_000, "second start at " + wake);
    }

    /** Guards against a repeated prompt prefix that is computed again on another idle worker. */
    @Test
    public void aSharedPrefixGoesBackToItsWorker() {
        scheduler.updateWorkers(workers(3, 2), 0);
        List<Long> prefix = List.of(71L, 72L);
        scheduler.offer(withPrefix("a", prefix), 0);
        String home = ((SchedulerDecision.Start) only(0)).prefillWorker();
        report("a", AttemptPhase.PREFILLED, 450_000);
        scheduler.offer(withPrefix("b", prefix), 500_000);
        assertEquals(((SchedulerDecision.Start) only(500_000)).prefillWorker(), home);
    }

    /** Guards against waiting for a cached prefix longer than computing it anew takes. */
    @Test
    public void aBusyWorkerLosesItsPrefixToAnIdleOne() {
        scheduler.updateWorkers(workers(2, 2), 0);
        scheduler.offer(withPrefix("a", List.of(71L)), 0);
        String home = ((SchedulerDecision.Start) only(0)).prefillWorker();
        scheduler.offer(withPrefix("b", List.of(71L)), 1_000);
        assertFalse(((SchedulerDecision.Start) only(1_000)).prefillWorker().equals(home));
    }

    /** Guards against new work on a worker whose failure the VM list does not show yet. */
    @Test
    public void aFailedWorkerGetsNoWorkUntilItReports() {
        scheduler.updateWorkers(workers(1, 2), 0);
        scheduler.offer(request("a", 100, 9_000, 8_000, false), 0);
        String failed = ((SchedulerDecision.Start) only(0)).decodeWorker();
        report("a", AttemptPhase.DECODE_FAILED, 1_000);
        scheduler.offer(request("b", 100, 9_000, 8_000, false), 2_000);
        assertFalse(((SchedulerDecision.Start) only(2_000)).decodeWorker().equals(failed));
    }

    /** Guards against an answer that is ended although its worker has memory left. */
    @Test
    public void anAnswerThatOutgrowsItsEstimateTakesFreePieces() {
        scheduler.updateWorkers(workers(1, 1), 0);
        scheduler.offer(request("a", 2_000, 9_000, 8_000, false), 0);
        assertEquals(((SchedulerDecision.Start) only(0)).pieces(), 2);
        report("a", AttemptPhase.PREFILLED, 220_000);
        scheduler.updateProgress(new AttemptProgress("a", AttemptPhase.DECODING, 2_100, 0), 300_000);
        assertTrue(scheduler.decide(300_000).isEmpty());
        scheduler.offer(request("all", 2_048 * 7 + 100, 9_000, 8_000, false), 300_000);
        assertTrue(scheduler.decide(300_000).stream().noneMatch(SchedulerDecision.Start.class::isInstance));
    }

    /** Guards against a new coordinator that gives away memory which attempts of its predecessor hold. */
    @Test
    public void anAdoptedAttemptKeepsItsMemory() {
        scheduler.updateWorkers(workers(1, 1), 0);
        SchedulerDecision.Start start = new SchedulerDecision.Start("old", "p0", "d0", 9, 5, "");
        AttemptProgress progress = new AttemptProgress("old", AttemptPhase.DECODING, 10, 0);
        scheduler.adopt(request("old", 17_000, 9_000, 8_000, false), start, progress, 0);
        scheduler.offer(request("new", 2_500, 9_000, 8_000, false), 0);
        assertTrue(scheduler.decide(0).isEmpty());
        report("old", AttemptPhase.COMPLETED, 10_000);
        assertEquals(only(10_000).attempt(), "new");
    }

    /** Guards against memory that an unknown attempt holds being granted a second time. */
    @Test
    public void piecesOfUnknownAttemptsAreNotGranted() {
        scheduler.updateWorkers(workers(1, 1), 0);
        scheduler.updateLoad(new WorkerLoad("d0", 100, 10, 0, 1, 0, List.of("unknown")), 0);
        scheduler.offer(request("a", 100, 9_000, 8_000, false), 0);
        assertTrue(scheduler.decide(0).stream().noneMatch(SchedulerDecision.Start.class::isInstance));
    }

    /** Guards against one partner's flood that displaces the equal requests of a modest partner. */
    @Test
    public void aModestPartnerIsNotDisplacedByAFlood() {
        scheduler.updateWorkers(workers(1, 4), 0);
        long now = 0;
        int modest = 0;
        int flood = 0;
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            now += 50_000;
            String partner = i % 5 == 0 ? "modest" : "flood";
            scheduler.offer(of(partner + i, partner, 2_000, 2_000, 1_500, false, List.of()), now);
            for (SchedulerDecision each : scheduler.decide(now)) {
                if (each instanceof SchedulerDecision.Start) {
                    modest += each.attempt().startsWith("modest") ? 1 : 0;
                    flood += each.attempt().startsWith("flood") ? 1 : 0;
                    running.add(each.attempt());
                }
            }
            while (running.size() > 1) {
                report(running.remove(0), AttemptPhase.COMPLETED, now);
            }
        }
        // The two partners ask for more than the pool can do, and each for at least half of it.
        assertTrue(modest >= 0.9 * (modest + flood) / 2, "modest started " + modest + ", flood " + flood);
    }

    private SchedulerDecision only(long now) {
        List<SchedulerDecision> decisions = scheduler.decide(now);
        assertEquals(decisions.size(), 1, decisions.toString());
        return decisions.get(0);
    }

    private void report(String attempt, AttemptPhase phase, long now) {
        scheduler.updateProgress(new AttemptProgress(attempt, phase, 0, 0), now);
    }

    private static PlacementRequest withPrefix(String attempt, List<Long> prefix) {
        return of(attempt, "partner", 4_200, 9_000, 8_000, false, prefix);
    }

    private static PlacementRequest request(String attempt, int prompt, long ttft, long wait, boolean isolated) {
        return of(attempt, "partner", prompt, ttft, wait, isolated, List.of());
    }

    static PlacementRequest of(
            String attempt, String partner, int prompt, long ttft, long wait, boolean isolated, List<Long> prefix) {
        return new PlacementRequest(
                attempt, "s", "m", partner, "z0", "class", 10, prompt, 200, 4_000, prefix, 1, ttft, 100, wait,
                isolated);
    }

    static List<PoolWorker> workers(int prefills, int decodes) {
        List<PoolWorker> workers = new ArrayList<>();
        for (int i = 0; i < prefills; i++) {
            workers.add(new PoolWorker("p" + i, WorkerRole.PREFILL, "z" + i % 3, false));
        }
        for (int i = 0; i < decodes; i++) {
            workers.add(new PoolWorker("d" + i, WorkerRole.DECODE, "z" + i % 3, false));
        }
        return workers;
    }
}
