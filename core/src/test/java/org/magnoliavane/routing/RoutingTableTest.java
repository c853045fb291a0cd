package org.magnoliavane.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RoutingTableTest {
    private static final CallerLimits LIMITS = new CallerLimits(16_384, 4_194_304, 3000, 15_000);

    @Test
    public void theLongestPrefixThatBeginsThePathWins() {
        RoutingTable table = tableOf(routeOf("short", "/a/"), routeOf("long", "/a/b/"));
        assertEquals(getRouteName(table, "h.example", "/a/b/c"), "long");
        assertEquals(getRouteName(table, "h.example", "/a/x"), "short");
    }

    @Test
    public void aPathWithoutTheClosingSlashOfThePrefixDoesNotMatch() {
        RoutingTable table = tableOf(routeOf("r", "/a/"));
        assertTrue(table.findRoute("h.example", "/a").isEmpty());
        assertTrue(table.findRoute("h.example", "/ab/").isEmpty());
    }

    @Test
    public void theHostIsComparedWithoutPortAndCase() {
        RoutingTable table = tableOf(routeOf("r", "/a/"));
        assertEquals(getRouteName(table, "H.Example:8080", "/a/"), "r");
        assertTrue(table.findRoute("other.example", "/a/").isEmpty());
    }

    @Test
    public void theWeightsAndTheRandomNumberSelectTheService() {
        Route route = new Route(
                "r",
                "h.example",
                "/a/",
                RequestKind.IDEMPOTENT,
                800,
                300,
                0,
                2,
                List.of(new WeightedService("old", 90), new WeightedService("new", 10)),
                2,
                false,
                false);
        assertEquals(route.pickService(0), "old");
        assertEquals(route.pickService(0.899), "old");
        assertEquals(route.pickService(0.901), "new");
        assertEquals(route.pickService(0.9999999), "new");
    }

    @Test
    public void aServiceOfWeightZeroGetsNothing() {
        Route route = new Route(
                "r",
                "h.example",
                "/a/",
                RequestKind.IDEMPOTENT,
                800,
                300,
                0,
                2,
                List.of(new WeightedService("off", 0), new WeightedService("on", 10)),
                2,
                false,
                false);
        assertEquals(route.pickService(0), "on");
    }

    @Test
    public void onlyIdempotentRequestsAndResumableStreamsAreRepeatable() {
        assertTrue(routeOf(RequestKind.IDEMPOTENT, false).isRetryable());
        assertFalse(routeOf(RequestKind.NON_IDEMPOTENT, false).isRetryable());
        assertFalse(routeOf(RequestKind.NON_IDEMPOTENT, true).isRetryable());
        assertFalse(routeOf(RequestKind.STREAM, false).isRetryable());
        assertTrue(routeOf(RequestKind.STREAM, true).isRetryable());
    }

    @Test
    public void theEventTimeoutIsTheLongestOfTwoSecondsFourTargetsAndEightGaps() {
        assertEquals(getEventTimeoutMillis(100, 100), 2000);
        assertEquals(getEventTimeoutMillis(900, 300), 3600);
        assertEquals(getEventTimeoutMillis(900, 500), 4000);
    }

    /** Guards against a route of low priority of a paying organisation that waits behind all requests of a lesser one. */
    @Test
    public void theUrgencyIsTheRankOfTheOrganisationAndThenOfTheRoute() {
        Route stream = routeOf("stream", "/s/", 0);
        Route other = routeOf("other", "/o/", 7);
        Organisation first = organisationOf("first", 1);
        Organisation equal = organisationOf("equal", 1);
        Organisation last = organisationOf("last", 4);
        RoutingTable table =
                RoutingTable.create(1, List.of(other, stream), List.of(), LIMITS, List.of(last, first, equal));
        assertEquals(table.countUrgencies(), 4);
        assertEquals(table.countOrganisations(), 3);
        assertEquals(table.getUrgency(Optional.of(first), stream), 0);
        assertEquals(table.getUrgency(Optional.of(equal), stream), 0);
        assertEquals(table.getUrgency(Optional.of(first), other), 1);
        assertEquals(table.getUrgency(Optional.of(last), stream), 2);
        assertEquals(table.getUrgency(Optional.of(last), other), 3);
        assertEquals(table.getUrgency(Optional.empty(), stream), 2);
    }

    /** Guards against routes that are open to all because the only organisation is invalid, and against ranks that it takes. */
    @Test
    public void anOrganisationWithoutKeysDemandsKeysButTakesNoRank() {
        Organisation invalid = new Organisation("invalid", Set.of(), 0, Optional.empty());
        Route route = routeOf("r", "/a/");
        RoutingTable alone = RoutingTable.create(1, List.of(route), List.of(), LIMITS, List.of(invalid));
        assertTrue(alone.hasOrganisations());
        assertEquals(alone.countOrganisations(), 0);
        assertEquals(alone.getUrgency(Optional.empty(), route), 0);
        RoutingTable both =
                RoutingTable.create(1, List.of(route), List.of(), LIMITS, List.of(invalid, organisationOf("valid", 3)));
        assertEquals(both.countUrgencies(), 1);
        assertEquals(both.findOrganisation("key of valid").orElseThrow().name(), "valid");
    }

    @Test
    public void aTableWithoutOrganisationsRanksByRouteAlone() {
        RoutingTable table = tableOf(routeOf("a", "/a/", 5), routeOf("b", "/b/", 2));
        assertFalse(table.hasOrganisations());
        assertEquals(table.countUrgencies(), 2);
        assertEquals(
                table.getUrgency(
                        Optional.empty(), table.findRoute("h.example", "/a/").orElseThrow()),
                1);
    }

    private static Organisation organisationOf(String name, int priority) {
        return new Organisation(name, Set.of("key of " + name), priority, Optional.empty());
    }

    private static long getEventTimeoutMillis(long targetMillis, long gapMillis) {
        return new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        14_000,
                        targetMillis,
                        gapMillis,
                        1,
                        List.of(new WeightedService("s", 1)),
                        1,
                        false,
                        false)
                .getEventTimeoutMillis();
    }

    private static String getRouteName(RoutingTable table, String host, String path) {
        Optional<Route> route = table.findRoute(host, path);
        return route.map(Route::name).orElse("none");
    }

    private static RoutingTable tableOf(Route... routes) {
        return RoutingTable.create(1, List.of(routes), List.of(), LIMITS);
    }

    private static Route routeOf(String name, String prefix) {
        return routeOf(name, prefix, 2);
    }

    private static Route routeOf(String name, String prefix, int priority) {
        return new Route(
                name,
                "h.example",
                prefix,
                RequestKind.IDEMPOTENT,
                800,
                300,
                0,
                priority,
                List.of(new WeightedService("s", 1)),
                2,
                false,
                false);
    }

    private static Route routeOf(RequestKind kind, boolean resumable) {
        return new Route(
                "r", "h", "/", kind, 800, 300, 0, 2, List.of(new WeightedService("s", 1)), 2, resumable, false);
    }
}
