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
    private static final long MILLI = 1_000_000;
    private static final long DURATION_MILLIS = 1000;
    private static final long DURATION = DURATION_MILLIS * MILLI;

    private static final long STEP = 20 * MILLI;
    private static final int STEPS = 1000;
    private static final int RETAINED_STEPS = (int) (2 * DURATION / STEP);

    private List<byte[]> stream;

    @BeforeMethod
    public void clear() {
        stream = new ArrayList<>();
    }

    @Test
    public void theFencingNumberIsTheOffsetOfTheAcquisitionAndStaysOverRenewals() {
        stream.add(new byte[] {'{'});
        Run run = new Run("a.1", 1);
        run.act(0);
        run.act(1);
        assertEquals(run.holder.findFencing(1), OptionalLong.of(1));
        run.act(DURATION / 2);
        run.act(DURATION / 2 + 1);
        assertEquals(stream.size(), 3);
        assertEquals(run.holder.findFencing(DURATION), OptionalLong.of(1));
        assertEquals(run.fold.getUnreadable(), 1);
    }

    /** Guards against a holder that acts after a pause although another one has taken over. */
    @Test
    public void aPausedHolderFindsItsLeaseAtAnEndAndItsLateRenewalHasNoEffect() {
        Run paused = new Run("a.1", 1);
        paused.act(0);
        paused.act(1);
        LeaseRecord late = paused.holder.nextRecord(paused.fold, DURATION / 2).orElseThrow();
        Run successor = new Run("b.1", 1);
        successor.act(2);
        assertEquals(successor.holder.nextRecord(successor.fold, DURATION), Optional.empty());
        successor.act(2 * DURATION);
        successor.act(2 * DURATION + 1);
        assertTrue(successor.holder.findFencing(2 * DURATION + 1).isPresent());
        assertTrue(paused.holder.findFencing(2 * DURATION + 1).isEmpty());
        assertEquals(paused.holder.getRestMillis(2 * DURATION + 1), 0);
        stream.add(late.toBytes());
        paused.read(2 * DURATION + 2);
        successor.read(2 * DURATION + 2);
        assertTrue(paused.holder.findFencing(2 * DURATION + 2).isEmpty());
        assertTrue(successor.holder.findFencing(2 * DURATION + 2).isPresent());
    }

    @Test
    public void aReleasedLeaseIsTakenAtOnceAndARenewalOnItsWayDoesNotBringItBack() {
        Run first = new Run("a.1", 1);
        first.act(0);
        first.act(1);
        LeaseRecord renewal = first.holder.nextRecord(first.fold, DURATION / 2).orElseThrow();
        LeaseRecord release = first.holder.release(first.fold).orElseThrow();
        stream.add(renewal.toBytes());
        first.read(DURATION / 2 + 1);
        assertTrue(first.holder.findFencing(DURATION / 2 + 1).isEmpty());
        stream.add(release.toBytes());
        Run second = new Run("b.1", 1);
        second.act(DURATION / 2 + 2);
        second.act(DURATION / 2 + 3);
        assertTrue(second.holder.findFencing(DURATION / 2 + 3).isPresent());
    }

    /** Guards against two holders after acquisitions at the same time, or after one that was delayed for long. */
    @Test
    public void anAcquisitionWhoseAuthorHadNotReadTheLastOneHasNoEffect() {
        Run first = new Run("a.1", 1);
        Run second = new Run("b.1", 1);
        stream.add(first.next(0).orElseThrow().toBytes());
        stream.add(second.next(0).orElseThrow().toBytes());
        first.read(1);
        second.read(1);
        assertTrue(first.isHeld(1));
        assertFalse(second.isHeld(1));
    }

    /** Guards against a reader that judges an acquisition without the records that decide about it. */
    @Test
    public void aReaderThatMissedRecordsBehindTheSeenOffsetOfAnAcquisitionDoesNotJudgeIt() {
        Run author = new Run("a.1", 1);
        LeaseRecord acquisition = author.next(0).orElseThrow();
        stream.add(new byte[] {'{'});
        stream.add(new byte[] {'{'});
        stream.add(acquisition.toBytes());
        author.fold = author.fold.withFirstOffset(2);
        author.read(1);
        assertFalse(author.isHeld(1));
        assertFalse(author.fold.find("pool").orElseThrow().exact());
    }

    /** Guards against a new node that takes a held lease because it cannot see the acquisition. */
    @Test
    public void aReaderOnATruncatedStreamWaitsForTheHolderThatItSeesRenew() {
        Run holder = new Run("a.1", 1);
        holder.act(0);
        holder.act(1);
        holder.act(DURATION / 2);
        holder.act(DURATION / 2 + 1);
        Run late = new Run("b.1", 1);
        late.fold = late.fold.withFirstOffset(1);
        late.act(DURATION);
        assertEquals(stream.size(), 2);
        assertFalse(late.fold.find("pool").orElseThrow().exact());
        late.act(DURATION + DURATION * 2);
        late.act(DURATION + DURATION * 2 + 1);
        assertTrue(late.fold.find("pool").orElseThrow().exact());
        assertEquals(late.holder.findFencing(DURATION * 3 + 1), OptionalLong.of(2));
    }

    /**
     * Guards against two holders at the same time. Runs are paused at random, have clocks of different rate, read late,
     * start on streams truncated to twice the duration or more, and their appends are lost or delayed beyond it.
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
            long now = step * STEP;
            sizes[step] = stream.size();
            int removable = step < RETAINED_STEPS ? 0 : sizes[step - RETAINED_STEPS];
            replaceOne(random, runs, step, removable);
            List<Delayed> arrived =
                    delayed.stream().filter(d -> d.atNanos <= now).toList();
            arrived.forEach(d -> stream.add(d.record.toBytes()));
            delayed.removeAll(arrived);
            for (Run run : runs) {
                if (now >= run.pausedUntil) {
                    run.pausedUntil = random.nextInt(60) == 0 ? now + random.nextLong(3 * DURATION) : now;
                    run.read(now);
                    run.next(now).ifPresent(r -> delay(random, delayed, r, now));
                }
            }
            List<Run> holders = runs.stream().filter(r -> r.isHeld(now)).toList();
            assertTrue(holders.size() <= 1, seed + ", step " + step + ": " + holders.size() + " holders");
            if (!holders.isEmpty()) {
                held++;
                long fencing = holders.get(0).fencing(now);
                assertTrue(fencing >= lastFencing, seed + ": fencing number fell from " + lastFencing);
                lastFencing = fencing;
            }
        }
        return held;
    }

    private void replaceOne(SplittableRandom random, List<Run> runs, int step, int removable) {
        if (runs.size() < 3 || random.nextInt(150) == 0) {
            Run run = new Run("n." + step, 0.95 + random.nextDouble() / 10);
            run.fold = run.fold.withFirstOffset(random.nextLong(removable + 1));
            if (runs.size() == 3) {
                runs.remove(random.nextInt(3));
            }
            runs.add(run);
        }
    }

    private static void delay(SplittableRandom random, List<Delayed> delayed, LeaseRecord record, long now) {
        int kind = random.nextInt(10);
        if (kind > 0) {
            long delay = kind == 1 ? random.nextLong(3 * DURATION) : random.nextLong(DURATION / 20);
            delayed.add(new Delayed(now + delay, record));
        }
    }

    private record Delayed(long atNanos, LeaseRecord record) {}

    /** One node run with its own clock and its own position in the stream. */
    private final class Run {
        private final LeaseHolder holder;
        private final double rate;
        private LeaseTable fold = LeaseTable.start();
        private long pausedUntil;

        Run(String name, double rate) {
            holder = new LeaseHolder("pool", name, DURATION_MILLIS);
            this.rate = rate;
        }

        void read(long now) {
            for (int offset = (int) fold.getNextOffset(); offset < stream.size(); offset++) {
                fold = fold.withRecord(offset, stream.get(offset));
            }
            holder.update(fold, toOwn(now));
        }

        Optional<LeaseRecord> next(long now) {
            return holder.nextRecord(fold, toOwn(now));
        }

        void act(long now) {
            read(now);
            next(now).ifPresent(r -> stream.add(r.toBytes()));
        }

        boolean isHeld(long now) {
            return holder.findFencing(toOwn(now)).isPresent();
        }

        long fencing(long now) {
            return holder.findFencing(toOwn(now)).orElseThrow();
        }

        private long toOwn(long now) {
            return (long) (now * rate);
        }
    }
}
