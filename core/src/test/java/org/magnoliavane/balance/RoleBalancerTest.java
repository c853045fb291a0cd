package org.magnoliavane.balance;

import java.util.Optional;

import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RoleBalancerTest {
    private static final long NOW = 20_000;

    /** A burst that fills decode memory while the prefill workers are half idle, as on a day of high load. */
    @Test
    public void aBurstThatFillsDecodeMemoryTurnsAnIdlePrefillWorkerIntoADecodeWorker() {
        RoleBalancer balance = steady(2.0, 8.0);
        assertEquals(balance.decide(5, 8, NOW), Optional.of(new RoleBalancer.Change(WorkerRole.DECODE, 1)));
    }

    @Test
    public void longPromptsWithShortAnswersTurnADecodeWorkerIntoAPrefillWorker() {
        RoleBalancer balance = steady(2.5, 2.0);
        assertEquals(balance.decide(3, 7, NOW), Optional.of(new RoleBalancer.Change(WorkerRole.PREFILL, 1)));
    }

    @Test
    public void rolesStayAsTheyAreWhileLittleWaits() {
        assertEquals(steady(0.2, 3.0).decide(5, 5, NOW), Optional.empty());
    }

    @Test
    public void rolesStayAsTheyAreWhenBothPartsAreFull() {
        assertEquals(steady(5.0, 8.0).decide(5, 8, NOW), Optional.empty());
    }

    @Test
    public void twoPrefillWorkersAreKeptSoThatOneMayFail() {
        assertEquals(steady(0.1, 6.0).decide(2, 6, NOW), Optional.empty());
    }

    @Test
    public void aShortSpikeChangesNothing() {
        RoleBalancer balance = steady(1.0, 3.0);
        balance.addSample(1.0, 8.0, NOW + 250);
        assertEquals(balance.decide(5, 8, NOW), Optional.empty());
    }

    /** Two decode workers crash during a burst; they are back seconds later, before an order could help. */
    @Test
    public void workersThatCrashAndComeBackChangeNoRoles() {
        RoleBalancer balance = steady(1.5, 3.5);
        assertEquals(balance.decide(3, 6, NOW), Optional.empty());
        for (long at = NOW + 250; at < NOW + 5000; at += 250) {
            assertEquals(balance.decide(3, 4, at), Optional.empty());
        }
        assertEquals(balance.decide(3, 6, NOW + 5000), Optional.empty());
    }

    @Test
    public void workersThatStayAwayAreReplaced() {
        RoleBalancer balance = steady(1.0, 4.0);
        balance.decide(4, 6, NOW);
        assertEquals(balance.decide(4, 4, NOW + 7000), Optional.of(new RoleBalancer.Change(WorkerRole.DECODE, 1)));
    }

    @Test
    public void aLargePoolChangesSeveralWorkersAtATime() {
        RoleBalancer.Change change = steady(8, 41).decide(22, 41, NOW).orElseThrow();
        assertEquals(change.to(), WorkerRole.DECODE);
        assertEquals(change.workers(), 63 / 12);
    }

    /** Each change must lower the higher utilization, or roles would go back and forth under a steady load. */
    @Test
    public void aSteadyLoadIsNeverFollowedByAChangeBack() {
        for (double prefill = 0.5; prefill < 6; prefill += 0.25) {
            for (double decode = 1; decode < 9; decode += 0.25) {
                RoleBalancer balance = steady(prefill, decode);
                Optional<RoleBalancer.Change> first = balance.decide(5, 8, NOW);
                int toDecode =
                        first.map(c -> c.to() == WorkerRole.DECODE ? 1 : -1).orElse(0);
                balance.clearWorkerCounts();
                Optional<RoleBalancer.Change> second = balance.decide(5 - toDecode, 8 + toDecode, NOW);
                boolean back = first.isPresent()
                        && second.isPresent()
                        && first.get().to() != second.get().to();
                assertTrue(!back, "prefill " + prefill + " decode " + decode);
            }
        }
    }

    private static RoleBalancer steady(double prefill, double decode) {
        RoleBalancer balance = new RoleBalancer();
        for (long at = 0; at <= 20_000; at += 250) {
            balance.addSample(prefill, decode, at);
        }
        return balance;
    }
}
