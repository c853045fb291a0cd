package org.magnoliavane.usage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.magnoliavane.membership.RendezvousHashing;
import org.magnoliavane.routing.UsageCap;
import org.magnoliavane.usage.UsageOwner.MessageId;

/** Drives one organisation's requests through the nodes of a fleet in virtual time, in one of three ways to keep its cap. */
final class UsageFleet {
    static final long UNITS = 5274;
    private static final long END_MILLIS = 30_000;
    private static final long EVENT_MILLIS = 10_000;
    private static final long WINDOW_MILLIS = 8000;
    private static final long LOST_MILLIS = 2500;
    private static final double USUAL = 0.55;
    private static final double TOLERANCE = 190_000;

    private final Way way;
    private final Event event;
    private final int nodes;
    private UsageCap cap;
    private final UsageOwner[] owners;
    private final NodeUsage[] usages;
    private final TokenBucket[] shares;
    private final double[] demands;
    private final double[] reports;
    private final int first;

    enum Way {
        SHARE_BY_REPORTS,
        OWNER,
        OWNER_OR_SHARE
    }

    enum Event {
        USUAL_LOAD,
        SIX_TIMES,
        CAP_TENTH,
        FIFTH_CUT_OFF,
        OWNER_KILLED,
        OWNER_FROZEN,
        OWNER_FROZEN_SIX_TIMES
    }

    /** Units over the bound in the worst window (negative: below it) and the number of requests refused below the cap. */
    record Result(long excess, int refusedBelow, int requests) {
        Result merge(Result other) {
            return new Result(
                    Math.max(excess, other.excess), refusedBelow + other.refusedBelow, requests + other.requests);
        }

        double getRefusedShare() {
            return (double) refusedBelow / requests;
        }
    }

    private record Run(long millis, long units) {}

    UsageFleet(Way way, Event event, int nodes, double rate, double startSeconds) {
        this.way = way;
        this.event = event;
        this.nodes = nodes;
        cap = new UsageCap(UsageCap.Unit.TOKENS, rate, rate, 200);
        owners = IntStream.range(0, nodes)
                .mapToObj(i -> new UsageOwner(startSeconds))
                .toArray(UsageOwner[]::new);
        usages = IntStream.range(0, nodes)
                .mapToObj(i -> NodeUsage.create(cap, nodes, 0.618 * i % 1, 0))
                .toArray(NodeUsage[]::new);
        shares = IntStream.range(0, nodes)
                .mapToObj(i -> TokenBucket.create(rate / nodes, rate / nodes, rate / nodes, 0))
                .toArray(TokenBucket[]::new);
        demands = new double[nodes];
        reports = new double[nodes];
        first = findOwner(0, 0);
    }

    Result play(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TokenBucket room = TokenBucket.create(cap.unitsPerSecond(), cap.burst(), cap.burst(), 0);
        List<Run> runs = new ArrayList<>();
        double usual = USUAL * cap.unitsPerSecond() / UNITS;
        double before = cap.unitsPerSecond();
        long nextReport = 0;
        int requests = 0;
        int refusedBelow = 0;
        int returned = 0;
        for (double at = 0; at < END_MILLIS; ) {
            boolean burst =
                    (event == Event.SIX_TIMES || event == Event.FIFTH_CUT_OFF || event == Event.OWNER_FROZEN_SIX_TIMES)
                            && at > EVENT_MILLIS - 2000;
            at += -Math.log(1 - random.nextDouble()) * 1000 / (usual * (burst ? 6 : 1));
            long now = (long) at;
            if (event == Event.CAP_TENTH && now >= EVENT_MILLIS && cap.unitsPerSecond() == before) {
                cap = new UsageCap(UsageCap.Unit.TOKENS, before / 10, before / 10, 200);
                room.setLimits(before / 10, before / 10, now);
            }
            for (; nextReport <= now; nextReport += 250L * (1 + nodes / 17)) {
                System.arraycopy(demands, 0, reports, 0, nodes);
                for (int i = 0; i < nodes; i++) {
                    demands[i] *= 0.5;
                    long unused = usages[i].takeUnusable(now);
                    if (unused > 0) {
                        returned++;
                        owners[findOwner(i, now)].giveBack(new MessageId("r" + i, 1, returned), "o", unused, now);
                    }
                }
            }
            int node = random.nextInt(nodes);
            if (node == first && isOwnerLost(now)) {
                continue;
            }
            requests++;
            boolean fits = room.getLevel(now) >= Math.min(UNITS, room.getCapacity());
            if (admit(node, requests, now)) {
                room.take(UNITS, Double.MAX_VALUE, now);
                runs.add(new Run(now, UNITS));
            } else if (fits) {
                refusedBelow++;
            }
        }
        return new Result(findExcess(runs, before), refusedBelow, requests);
    }

    private boolean admit(int node, int id, long now) {
        if (way == Way.SHARE_BY_REPORTS) {
            demands[node] += UNITS;
            double sum = demands[node] - reports[node];
            for (double report : reports) {
                sum += report;
            }
            double share = Math.max(demands[node] / sum, 0.5 / nodes);
            shares[node].setLimits(cap.unitsPerSecond() * share, cap.burst() * share, now);
            return shares[node].tryTake(UNITS, now);
        }
        NodeUsage usage = usages[node];
        usage.setLimits(cap, nodes, now);
        int owner = findOwner(node, now);
        if (owner != node && usage.tryUseAhead(UNITS, now)) {
            return true;
        }
        boolean reached = isCutOff(node, now) == isCutOff(owner, now) && !(owner == first && isOwnerLost(now));
        if (!reached) {
            return way == Way.OWNER_OR_SHARE && usage.decideLocally(UNITS, now).isGranted();
        }
        long ahead = owner == node ? 0 : usage.getAheadToRequest(UNITS, now);
        UsageGrant grant = owners[owner].decide(
                new UsageOwner.UsageRequest(new MessageId("n" + node, 1, id), "o", UNITS, ahead),
                cap,
                (double) findHeard(owner, now).size() / nodes,
                now);
        if (grant.isGranted()) {
            usage.recordGrant(UNITS, grant.grantedUnits() - UNITS, now);
        } else {
            usage.recordRefusal(now);
        }
        return grant.isGranted();
    }

    private int findOwner(int node, long now) {
        return RendezvousHashing.findOwner("o", findHeard(node, now), i -> "n" + i)
                .orElseThrow();
    }

    /** Finds the nodes that a node takes for live; it notices a loss 2.5 s later. */
    private List<Integer> findHeard(int node, long now) {
        long noticed = now - LOST_MILLIS;
        return IntStream.range(0, nodes)
                .filter(i -> i == node
                        || isCutOff(i, noticed) == isCutOff(node, noticed) && !(i == first && isOwnerLost(noticed)))
                .boxed()
                .toList();
    }

    private boolean isCutOff(int node, long now) {
        return event == Event.FIFTH_CUT_OFF && now >= EVENT_MILLIS && node % 5 == first % 5;
    }

    private boolean isOwnerLost(long now) {
        return event == Event.OWNER_KILLED && now >= EVENT_MILLIS
                || (event == Event.OWNER_FROZEN || event == Event.OWNER_FROZEN_SIX_TIMES)
                        && now >= EVENT_MILLIS
                        && now < EVENT_MILLIS + 6000;
    }

    private long findExcess(List<Run> runs, double rateBefore) {
        double worst = -Double.MAX_VALUE;
        double sum = 0;
        int start = 0;
        for (Run run : runs) {
            sum += run.units;
            while (runs.get(start).millis <= run.millis - WINDOW_MILLIS) {
                sum -= runs.get(start++).units;
            }
            double rate = runs.get(start).millis >= EVENT_MILLIS + WINDOW_MILLIS ? cap.unitsPerSecond() : rateBefore;
            worst = Math.max(worst, sum - (1.1 * (rate * 8 + rate) + TOLERANCE));
        }
        return (long) worst;
    }
}
