package org.magnoliavane.budget;

import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.magnoliavane.budget.ByteBudget.Allocation;
import org.magnoliavane.budget.ByteBudget.Use;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class ByteBudgetTest {
    private static final long CAPACITY_BYTES = 1_000_000;

    @Test
    public void bodiesOfCallersLeaveTheShareOfResponses() {
        ByteBudget budget = ByteBudget.of(CAPACITY_BYTES);
        try (Allocation body = budget.open(Use.CALLER_BODY);
                Allocation response = budget.open(Use.RESPONSE)) {
            assertTrue(body.tryGrow(budget.getCapacityBytes(Use.CALLER_BODY)));
            assertFalse(body.tryGrow(1));
            assertTrue(response.tryGrow(budget.getCapacityBytes(Use.RESPONSE)));
            assertEquals(budget.countRefusals(Use.CALLER_BODY), 1);
            assertEquals(budget.countRefusals(Use.RESPONSE), 0);
        }
        assertEquals(budget.getUsedBytes(Use.CALLER_BODY), 0);
        assertEquals(budget.getUsedBytes(Use.RESPONSE), 0);
    }

    @Test
    public void aClosedAllocationReleasesItsBytesOnceAndDoesNotGrow() {
        ByteBudget budget = ByteBudget.of(CAPACITY_BYTES);
        Allocation allocation = budget.open(Use.RESPONSE);
        assertTrue(allocation.tryGrow(100));
        allocation.shrink(1000);
        assertEquals(budget.getUsedBytes(Use.RESPONSE), 0);
        assertTrue(allocation.tryGrow(100));
        allocation.close();
        allocation.close();
        assertFalse(allocation.tryGrow(1));
        assertEquals(budget.getUsedBytes(Use.RESPONSE), 0);
    }

    @Test
    public void allocationsOfSeveralThreadsNeverExceedTheShare() {
        ByteBudget budget = ByteBudget.of(CAPACITY_BYTES);
        long capacity = budget.getCapacityBytes(Use.RESPONSE);
        CompletableFuture<?>[] tasks = IntStream.range(0, 8)
                .mapToObj(i -> CompletableFuture.runAsync(() -> allocateRepeatedly(budget, capacity)))
                .toArray(CompletableFuture[]::new);
        CompletableFuture.allOf(tasks).join();
        assertEquals(budget.getUsedBytes(Use.RESPONSE), 0);
    }

    private void allocateRepeatedly(ByteBudget budget, long capacity) {
        for (int i = 0; i < 10_000; i++) {
            try (Allocation allocation = budget.open(Use.RESPONSE)) {
                allocation.tryGrow(capacity / 3);
                long used = budget.getUsedBytes(Use.RESPONSE);
                assertTrue(used >= 0 && used <= capacity, "used " + used);
            }
        }
    }

    @Test
    public void aBufferJoinsItsBytesInOrderAndKeepsOnlyTheJoinedOnes() {
        ByteBudget budget = ByteBudget.of(CAPACITY_BYTES);
        try (Allocation allocation = budget.open(Use.LARGE_RESPONSE)) {
            BudgetedBuffer buffer = BudgetedBuffer.create();
            byte[] bytes = new byte[150_001];
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] = (byte) (i / 7);
            }
            for (int i = 0; i < bytes.length; i += 1000) {
                assertTrue(buffer.append(bytes, i, Math.min(1000, bytes.length - i), allocation));
            }
            assertEquals(buffer.size(), bytes.length);
            assertEquals(buffer.join(allocation).orElseThrow(), bytes);
            assertEquals(budget.getUsedBytes(Use.LARGE_RESPONSE), bytes.length);
        }
    }

    @Test
    public void aBufferStopsWhereTheBudgetEnds() {
        ByteBudget budget = ByteBudget.of(CAPACITY_BYTES);
        try (Allocation allocation = budget.open(Use.RESPONSE)) {
            BudgetedBuffer buffer = BudgetedBuffer.create();
            byte[] bytes = new byte[10_000];
            int appended = 0;
            while (buffer.append(bytes, 0, bytes.length, allocation)) {
                appended += bytes.length;
            }
            assertTrue(appended <= budget.getCapacityBytes(Use.RESPONSE), "appended " + appended);
            assertTrue(buffer.join(allocation).isEmpty());
        }
    }
}
