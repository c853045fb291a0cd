package org.magnoliavane.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class LeaseHolderTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DURATION_MILLIS = 1000;
    private static final long DURATION_NANOS = DURATION_MILLIS * NANOS_PER_MILLI;

    private static final long STEP_NANOS = 20 * NANOS_PER_MILLI;
    private static final int STEPS = 1000;
    private static final int RETAINED_STEPS = (int) (2 * DURATION_NANOS / STEP_NANOS);

    private List<byte[]> stream;

    @BeforeMethod
    public void clear() {
        stream = new ArrayList<>();
    }

    @Test
    public void theFencingTokenIsTheOffsetOfTheAcquisitionAndIsKeptByRenewals() {
        stream.add(new byte[] {'{'});
        Run run = new Run("a.1", 1);
        run.readAndAppend(0);
        run.readAndAppend(1);
        assertEquals(run.holder.findFencingToken(1), OptionalLong.of(1));
        run.readAndAppend(DURATION_NANOS / 2);
        run.readAndAppend(DURATION_NANOS / 2 + 1);
        assertEquals(stream.size(), 3);
        assertEquals(run.holder.findFencingToken(DURATION_NANOS), OptionalLong.of(1));
        assertEquals(run.leases.getUnreadableCount(), 1);
    }

    /** Guards against a paused holder that goes on sending orders although another one has acquired the lease. */
    @Test
    public void aPausedHolderFindsItsLeaseExpiredAndItsLateRenewalHasNoEffect() {
        Run paused = new Run("a.1", 1);
        paused.readAndAppend(0);
        paused.readAndAppend(1);
        LeaseRecord late =
                paused.holder.nextRecord(paused.leases, DURATION_NANOS / 2).orElseThrow();
        Run successor = new Run("b.1", 1);
        successor.readAndAppend(2);
        assertEquals(successor.holder.nextRecord(successor.leases, DURATION_NANOS), Optional.empty());
        successor.readAndAppend(2 * DURATION_NANOS);
        successor.readAndAppend(2 * DURATION_NANOS + 1);
        assertTrue(successor.holder.findFencingToken(2 * DURATION_NANOS + 1).isPresent());
        assertTrue(paused.holder.findFencingToken(2 * DURATION_NANOS + 1).isEmpty());
        assertEquals(paused.holder.getRemainingMillis(2 * DURATION_NANOS + 1), 0);
        stream.add(late.toBytes());
        paused.read(2 * DURATION_NANOS + 2);
        successor.read(2 * DURATION_NANOS + 2);
        assertTrue(paused.holder.findFencingToken(2 * DURATION_NANOS + 2).isEmpty());
        assertTrue(successor.holder.findFencingToken(2 * DURATION_NANOS + 2).isPresent());
    }

    @Test
    public void aReleasedLeaseCanBeAcquiredAtOnceAndADelayedRenewalDoesNotRestoreIt() {
        Run first = new Run("a.1", 1);
        first.readAndAppend(0);
        first.readAndAppend(1);
        LeaseRecord renewal =
                first.holder.nextRecord(first.leases, DURATION_NANOS / 2).orElseThrow();
        LeaseRecord release = first.holder.release(first.leases).orElseThrow();
        stream.add(renewal.toBytes());
        first.read(DURATION_NANOS / 2 + 1);
        assertTrue(first.holder.findFencingToken(DURATION_NANOS / 2 + 1).isEmpty());
        stream.add(release.toBytes());
        Run second = new Run("b.1", 1);
        second.readAndAppend(DURATION_NANOS / 2 + 2);
        second.readAndAppend(DURATION_NANOS / 2 + 3);
        assertTrue(second.holder.findFencingToken(DURATION_NANOS / 2 + 3).isPresent());
    }

    /** Guards against two holders after concurrent acquisitions or after a long delay of one of them. */
    @Test
    public void anAcquisitionWhoseAuthorHadNotReadTheLatestOneHasNoEffect() {
        Run first = new Run("a.1", 1);
        Run second = new Run("b.1", 1);
        stream.add(first.createNextRecord(0).orElseThrow().toBytes());
        stream.add(second.createNextRecord(0).orElseThrow().toBytes());
        first.read(1);
        second.read(1);
        assertTrue(first.isHeld(1));
        assertFalse(second.isHeld(1));
    }

    /** Guards against a reader that validates an acquisition without having read the preceding records. */
    @Test
    public void aReaderThatMissedRecordsAfterTheSeenOffsetOfAnAcquisitionDoesNotValidateIt() {
        Run author = new Run("a.1", 1);
        LeaseRecord acquisition = author.createNextRecord(0).orElseThrow();
        stream.add(new byte[] {'{'});
        stream.add(new byte[] {'{'});
        stream.add(acquisition.toBytes());
        author.leases = author.leases.withFirstOffset(2);
        author.read(1);
        assertFalse(author.isHeld(1));
        assertFalse(author.leases.find("pool").orElseThrow().exact());
    }

    /**
     * Guards against a new node that acquires a held lease because the acquisition has been removed from the stream.
     */
    @Test
    public void aReaderOfATruncatedStreamWaitsForTheHolderWhoseRenewalItReads() {
        Run holder = new Run("a.1", 1);
        holder.readAndAppend(0);
        holder.readAndAppend(1);
        holder.readAndAppend(DURATION_NANOS / 2);
        holder.readAndAppend(DURATION_NANOS / 2 + 1);
        Run late = new Run("b.1", 1);
        late.leases = late.leases.withFirstOffset(1);
        late.readAndAppend(DURATION_NANOS);
        assertEquals(stream.size(), 2);
        assertFalse(late.leases.find("pool").orElseThrow().exact());
        late.readAndAppend(DURATION_NANOS + DURATION_NANOS * 2);
        late.readAndAppend(DURATION_NANOS + DURATION_NANOS * 2 + 1);
        assertTrue(late.leases.find("pool").orElseThrow().exact());
        assertEquals(late.holder.findFencingToken(DURATION_NANOS * 3 + 1), OptionalLong.of(2));
    }

    /**
     * Guards against two holders at the same time. Runs are paused at random, have clocks of different rates, read late
     * and start on streams truncated to twice the lease duration or more; their appends are lost or delayed by up to
     * three times the duration.
     */
    @Test
    public void noTwoRunsHoldTheLeaseAtTheSameTime() {
        int held = 0;
        for (int seed = 0; seed < 60; seed++) {
            held += simulate(new SplittableRandom(seed), "seed " + seed);
        }
        assertTrue(held > 60 * 50, "steps with a holder: " + held);
    }

    private int simulate(SplittableRandom random, String seed) {
        stream = new ArrayList<>();
        List<Run> runs = new ArrayList<>();
        List<Delayed> delayed = new ArrayList<>();
        int held = 0;
        long lastFencing = -1;
        int[] sizes = new int[STEPS];
        for (int step = 0; step < STEPS; step++) {
            long now = step * STEP_NANOS;
            sizes[step] = stream.size();
            int removable = step < RETAINED_STEPS ? 0 : sizes[step - RETAINED_STEPS];
            replaceRandomRun(random, runs, step, removable);
            List<Delayed> arrived =
                    delayed.stream().filter(d -> d.atNanos <= now).toList();
            arrived.forEach(d -> stream.add(d.record.toBytes()));
            delayed.removeAll(arrived);
            for (Run run : runs) {
                if (now >= run.pausedUntilNanos) {
                    run.pausedUntilNanos = random.nextInt(60) == 0 ? now + random.nextLong(3 * DURATION_NANOS) : now;
                    run.read(now);
                    run.createNextRecord(now).ifPresent(r -> delay(random, delayed, r, now));
                }
            }
            List<Run> holders = runs.stream().filter(r -> r.isHeld(now)).toList();
            assertTrue(holders.size() <= 1, seed + ", step " + step + ": " + holders.size() + " holders");
            if (!holders.isEmpty()) {
                held++;
                long fencing = holders.get(0).getFencingToken(now);
                assertTrue(fencing >= lastFencing, seed + ": fencing token decreased from " + lastFencing);
                lastFencing = fencing;
            }
        }
        return held;
    }

    private void replaceRandomRun(SplittableRandom random, List<Run> runs, int step, int removable) {
        if (runs.size() < 3 || random.nextInt(150) == 0) {
            Run run = new Run("n." + step, 0.95 + random.nextDouble() / 10);
            run.leases = run.leases.withFirstOffset(random.nextLong(removable + 1));
            if (runs.size() == 3) {
                runs.remove(random.nextInt(3));
            }
            runs.add(run);
        }
    }

    private static void delay(SplittableRandom random, List<Delayed> delayed, LeaseRecord record, long now) {
        int kind = random.nextInt(10);
        if (kind > 0) {
            long delay = kind == 1 ? random.nextLong(3 * DURATION_NANOS) : random.nextLong(DURATION_NANOS / 20);
            delayed.add(new Delayed(now + delay, record));
        }
    }

    private record Delayed(long atNanos, LeaseRecord record) {}

    /** Simulates a node run with its own clock and its own position in the stream. */
    private final class Run {
        private final LeaseHolder holder;
        private final double clockRate;
        private LeaseTable leases = LeaseTable.initial();
        private long pausedUntilNanos;

        Run(String name, double clockRate) {
            holder = new LeaseHolder("pool", name, DURATION_MILLIS);
            this.clockRate = clockRate;
        }

        void read(long now) {
            for (int offset = (int) leases.getNextOffset(); offset < stream.size(); offset++) {
                leases = leases.withRecord(offset, stream.get(offset));
            }
            holder.update(leases, toLocalTime(now));
        }

        Optional<LeaseRecord> createNextRecord(long now) {
            return holder.nextRecord(leases, toLocalTime(now));
        }

        void readAndAppend(long now) {
            read(now);
            createNextRecord(now).ifPresent(r -> stream.add(r.toBytes()));
        }

        boolean isHeld(long now) {
            return holder.findFencingToken(toLocalTime(now)).isPresent();
        }

        long getFencingToken(long now) {
            return holder.findFencingToken(toLocalTime(now)).orElseThrow();
        }

        private long toLocalTime(long now) {
            return (long) (now * clockRate);
        }
    }
}
