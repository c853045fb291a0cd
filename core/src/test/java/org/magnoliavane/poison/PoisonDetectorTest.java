package org.magnoliavane.poison;

import java.util.List;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class PoisonDetectorTest {
    private static final long FIRST = 1;
    private static final long GUILTY = 2;
    private static final RequestFeatures POISON = new RequestFeatures(100, List.of(FIRST, GUILTY));
    private static final RequestFeatures SOUND = new RequestFeatures(200, List.of(FIRST, 3L));

    private PoisonDetector detector;

    @BeforeMethod
    public void createDetector() {
        detector = new PoisonDetector(feature -> true);
    }

    private PoisonDecision.Kind decide(RequestFeatures request, long nowMillis) {
        return detector.decide(request, nowMillis).kind();
    }

    private static RequestFeatures withContent(long content) {
        return new RequestFeatures(content, POISON.parts());
    }

    private void crash(int crashes) {
        for (int i = 0; i < crashes; i++) {
            detector.recordCrash(withContent(1000 + i), i, false, 0);
        }
    }

    @Test
    public void aContentIsRefusedOnceItHasBrokenOffAtThreeWorkers() {
        PoisonDetector own = new PoisonDetector(feature -> false);
        RequestFeatures request = new RequestFeatures(7, List.of());
        own.recordBroken(request, 1, 0);
        own.recordBroken(request, 2, 0);
        assertEquals(own.decide(request, 0).kind(), PoisonDecision.Kind.ADMIT);
        own.recordBroken(request, 3, 0);
        assertEquals(own.decide(request, 0).kind(), PoisonDecision.Kind.REFUSE);
        assertEquals(own.decide(new RequestFeatures(8, List.of()), 0).kind(), PoisonDecision.Kind.ADMIT);
    }

    @Test
    public void aCrashThatSeveralNodesReportCountsOnce() {
        RequestFeatures request = new RequestFeatures(7, List.of());
        for (int i = 0; i < 5; i++) {
            detector.recordBroken(request, 1, 0);
            detector.merge(detector.getReport(1, 0).get(0), 0);
        }
        assertFalse(detector.isConvicted(request));
        assertEquals(detector.getReport(1, 0).get(0).crashes().size(), 1);
    }

    @Test
    public void theOldestFeatureIsEvictedWhenTheLimitIsExceeded() {
        for (long content = 0; content < 5000; content++) {
            detector.recordBroken(new RequestFeatures(content, List.of()), 1, 0);
        }
        assertFalse(detector.isAccused(new RequestFeatures(0, List.of())));
        assertTrue(detector.isAccused(new RequestFeatures(4999, List.of())));
    }

    /** Guards against a convicted feature that is forgotten while many others pass. */
    @Test
    public void aConvictedPartOutlivesTenThousandOthers() {
        crash(3);
        for (long part = 10_000; part < 20_000; part++) {
            detector.recordCrash(new RequestFeatures(part, List.of(part)), part, false, 0);
        }
        assertTrue(detector.isConvicted(POISON));
    }

    /** Guards against requests that share the part which crashes workers, no two of them alike. */
    @Test
    public void requestsThatShareAPartAreRefusedAfterThreeCrashes() {
        detector.recordProgress(SOUND, 0);
        crash(2);
        assertEquals(decide(POISON, 0), PoisonDecision.Kind.ADMIT);
        detector.recordCrash(POISON, 3, false, 0);
        assertEquals(decide(withContent(5), 0), PoisonDecision.Kind.REFUSE);
        assertEquals(decide(SOUND, 0), PoisonDecision.Kind.ADMIT);
    }

    @Test
    public void aPartOfAnswersThatGetPastTheirBeginningIsConvictedByFiveCrashesWithoutACompletedAnswer() {
        detector.recordProgress(POISON, 0);
        crash(4);
        assertFalse(detector.isConvicted(POISON));
        crash(5);
        assertTrue(detector.isConvicted(POISON));
    }

    @Test
    public void aCompletedAnswerContradictsTheCrashesKnownBefore() {
        crash(5);
        assertTrue(detector.isConvicted(SOUND));
        assertEquals(detector.takeCleared(), List.of());
        detector.recordAnswer(SOUND, 0);
        assertEquals(detector.takeCleared(), List.of(FIRST));
        assertEquals(detector.takeCleared(), List.of());
        crash(5);
        assertFalse(detector.isConvicted(SOUND));
        assertTrue(detector.isConvicted(POISON));
    }

    /** Guards against sound requests that stay refused because they share a part with those that crash workers. */
    @Test
    public void aPartWhoseCrashesAnotherOneExplainsIsTriedByOneRequestAtATime() {
        crash(3);
        assertEquals(decide(POISON, 600), PoisonDecision.Kind.REFUSE);
        assertEquals(decide(SOUND, 600), PoisonDecision.Kind.TRIAL);
        assertEquals(decide(SOUND, 700), PoisonDecision.Kind.WAIT);
        detector.recordProgress(SOUND, 1200);
        detector.endTrial(SOUND);
        assertEquals(decide(SOUND, 1300), PoisonDecision.Kind.ADMIT);
        assertEquals(decide(POISON, 1300), PoisonDecision.Kind.REFUSE);
    }

    @Test
    public void aFirstPartThatCrashesWorkersBesideDifferentOtherPartsIsRefused() {
        for (int i = 0; i < 3; i++) {
            detector.recordCrash(new RequestFeatures(i, List.of(FIRST, 50L + i)), i, false, 0);
        }
        assertEquals(decide(SOUND, 10_000), PoisonDecision.Kind.REFUSE);
    }

    /** Guards against a wrong conviction, or one of a part that was repaired, without an end. */
    @Test
    public void aConvictedPartIsTriedAgainAfterATimeThatGrowsWithEachCrash() {
        crash(3);
        assertEquals(decide(POISON, PoisonDetector.FIRST_TRIAL_MILLIS - 1), PoisonDecision.Kind.REFUSE);
        assertEquals(decide(POISON, PoisonDetector.FIRST_TRIAL_MILLIS), PoisonDecision.Kind.TRIAL);
        assertEquals(decide(POISON, PoisonDetector.FIRST_TRIAL_MILLIS), PoisonDecision.Kind.REFUSE);
        detector.recordCrash(POISON, 77, false, PoisonDetector.FIRST_TRIAL_MILLIS);
        detector.endTrial(POISON);
        assertEquals(decide(POISON, 4 * PoisonDetector.FIRST_TRIAL_MILLIS), PoisonDecision.Kind.REFUSE);
        assertEquals(decide(POISON, 5 * PoisonDetector.FIRST_TRIAL_MILLIS), PoisonDecision.Kind.TRIAL);
        detector.recordAnswer(POISON, 0);
        assertEquals(decide(withContent(9), 0), PoisonDecision.Kind.ADMIT);
    }

    @Test
    public void evidenceMergesInAnyOrderToTheSameResult() {
        PoisonDetector other = new PoisonDetector(feature -> true);
        crash(3);
        List<CrashEvidence> before = detector.getReport(10, 0);
        detector.recordAnswer(POISON, 0);
        List<CrashEvidence> after = detector.getReport(10, 0);
        after.forEach(e -> other.merge(e, 0));
        before.forEach(e -> other.merge(e, 0));
        assertFalse(other.isConvicted(POISON));
        before.forEach(e -> detector.merge(e, 0));
        assertFalse(detector.isConvicted(POISON));
    }

    /** Guards against a node that is started again and sends what the others know to crash workers. */
    @Test
    public void aNodeThatStartsLearnsOfConvictedPartsAtAnyLaterTime() {
        crash(3);
        PoisonDetector started = new PoisonDetector(feature -> true);
        detector.getReport(10, 3_000_000).forEach(e -> started.merge(e, 3_000_000));
        assertEquals(started.decide(POISON, 3_000_000).kind(), PoisonDecision.Kind.REFUSE);
    }

    @Test
    public void aNodeThatKnowsAnAnswerTellsTheOthers() {
        PoisonDetector witness = new PoisonDetector(feature -> true);
        witness.recordProgress(SOUND, 0);
        crash(3);
        detector.getReport(10, 0).forEach(e -> witness.merge(e, 0));
        assertFalse(witness.isConvicted(SOUND));
        witness.getReport(10, 0).forEach(e -> detector.merge(e, 0));
        assertFalse(detector.isConvicted(SOUND));
    }
}
