package org.magnoliavane.balance;

import java.util.Optional;

import org.magnoliavane.WorkerRole;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public class RoleBalancerTest {
    private static final long NOW = 20_000;

    /** A burst fills the decode memory while the prefill workers are half idle, as on a day with high load. */
    @Test
    public void aBurstThatFillsDecodeMemoryChangesAnIdlePrefillWorkerToDecode() {
        RoleBalancer balancer = createWithSteadyLoad(2.0, 8.0);
        assertEquals(balancer.decide(5, 8, NOW), Optional.of(new RoleBalancer.Change(WorkerRole.DECODE, 1)));
    }

    @Test
    public void longPromptsWithShortOutputsChangeADecodeWorkerToPrefill() {
        RoleBalancer balancer = createWithSteadyLoad(2.5, 2.0);
        assertEquals(balancer.decide(3, 7, NOW), Optional.of(new RoleBalancer.Change(WorkerRole.PREFILL, 1)));
    }

    @Test
    public void rolesDoNotChangeAtLowUtilization() {
        assertEquals(createWithSteadyLoad(0.2, 3.0).decide(5, 5, NOW), Optional.empty());
    }

    @Test
    public void rolesDoNotChangeIfBothRolesAreFullyUtilized() {
        assertEquals(createWithSteadyLoad(5.0, 8.0).decide(5, 8, NOW), Optional.empty());
    }

    @Test
    public void twoPrefillWorkersAreKeptSoThatOneMayFail() {
        assertEquals(createWithSteadyLoad(0.1, 6.0).decide(2, 6, NOW), Optional.empty());
    }

    @Test
    public void aShortSpikeChangesNoRoles() {
        RoleBalancer balancer = createWithSteadyLoad(1.0, 3.0);
        balancer.addSample(1.0, 8.0, NOW + 250);
        assertEquals(balancer.decide(5, 8, NOW), Optional.empty());
    }

    /** Two decode workers crash during a burst. They restart within seconds, before a role change could take effect. */
    @Test
    public void crashedWorkersThatRestartChangeNoRoles() {
        RoleBalancer balancer = createWithSteadyLoad(1.5, 3.5);
        assertEquals(balancer.decide(3, 6, NOW), Optional.empty());
        for (long at = NOW + 250; at < NOW + 5000; at += 250) {
            assertEquals(balancer.decide(3, 4, at), Optional.empty());
        }
        assertEquals(balancer.decide(3, 6, NOW + 5000), Optional.empty());
    }

    @Test
    public void workersThatDoNotRestartAreReplaced() {
        RoleBalancer balancer = createWithSteadyLoad(1.0, 4.0);
        balancer.decide(4, 6, NOW);
        assertEquals(balancer.decide(4, 4, NOW + 7000), Optional.of(new RoleBalancer.Change(WorkerRole.DECODE, 1)));
    }

    @Test
    public void aLargePoolChangesSeveralWorkersAtATime() {
        RoleBalancer.Change change =
                createWithSteadyLoad(8, 41).decide(22, 41, NOW).orElseThrow();
        assertEquals(change.to(), WorkerRole.DECODE);
        assertEquals(change.workers(), 63 / 12);
    }

    /** The load of 50 streams a second: prefill is idle, and a burst of 2.3 would fill the decode memory within a second. */
    @Test
    public void aLargePoolMovesIdlePrefillWorkersBeforeABurst() {
        RoleBalancer.Change change =
                createWithSteadyLoad(5, 21).decide(22, 41, NOW).orElseThrow();
        assertEquals(change, new RoleBalancer.Change(WorkerRole.DECODE, 8));
    }

    @Test
    public void aLargePoolKeepsPrefillWorkersForABurstAndAFailure() {
        assertEquals(createWithSteadyLoad(5, 30).decide(14, 49, NOW), Optional.empty());
    }

    @Test
    public void aLargePoolWithFreeDecodeMemoryChangesNoRoles() {
        assertEquals(createWithSteadyLoad(5, 16).decide(22, 41, NOW), Optional.empty());
    }

    /** Guards against changes back and forth when surplus workers move. */
    @Test
    public void aSteadyLoadOfALargePoolIsNeverFollowedByAChangeBack() {
        for (double prefill = 0; prefill < 22; prefill += 0.5) {
            for (double decode = 0; decode <= 41; decode += 0.5) {
                RoleBalancer balancer = createWithSteadyLoad(prefill, decode);
                int toDecode =
                        balancer.decide(22, 41, NOW).map(this::countToDecode).orElse(0);
                balancer.clearWorkerCounts();
                int second = balancer.decide(22 - toDecode, 41 + toDecode, NOW)
                        .map(this::countToDecode)
                        .orElse(0);
                assertTrue(toDecode * second >= 0, "prefill " + prefill + " decode " + decode);
            }
        }
    }

    private int countToDecode(RoleBalancer.Change change) {
        return change.to() == WorkerRole.DECODE ? change.workers() : -change.workers();
    }

    /** Guards against oscillation: each change must lower the higher utilization, or roles would change back and forth. */
    @Test
    public void aSteadyLoadIsNeverFollowedByAChangeBack() {
        for (double prefill = 0.5; prefill < 6; prefill += 0.25) {
            for (double decode = 1; decode < 9; decode += 0.25) {
                RoleBalancer balancer = createWithSteadyLoad(prefill, decode);
                Optional<RoleBalancer.Change> first = balancer.decide(5, 8, NOW);
                int toDecode =
                        first.map(c -> c.to() == WorkerRole.DECODE ? 1 : -1).orElse(0);
                balancer.clearWorkerCounts();
                Optional<RoleBalancer.Change> second = balancer.decide(5 - toDecode, 8 + toDecode, NOW);
                boolean reverted = first.isPresent()
                        && second.isPresent()
                        && first.get().to() != second.get().to();
                assertTrue(!reverted, "prefill " + prefill + " decode " + decode);
            }
        }
    }

    private static RoleBalancer createWithSteadyLoad(double prefill, double decode) {
        RoleBalancer balancer = new RoleBalancer();
        for (long at = 0; at <= 20_000; at += 250) {
            balancer.addSample(prefill, decode, at);
        }
        return balancer;
    }
}
