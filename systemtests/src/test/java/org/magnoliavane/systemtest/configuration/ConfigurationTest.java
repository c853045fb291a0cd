package org.magnoliavane.systemtest.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.systemtest.DeploymentSize;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.ManagedProcess;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Guards against versions that are late, that differ between nodes, or that revert. */
public class ConfigurationTest {
    private static final System.Logger LOG = System.getLogger(ConfigurationTest.class.getName());
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final long IN_FORCE_MILLIS = 3000;
    private static final long COMMAND_MILLIS = 30_000;
    private static final int CONFLICT = 4;
    private static final int ROUNDS = 20;

    private LocalDeployment deployment;
    private Operators operators;
    private VersionWatch watch;

    @BeforeClass
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/configuration"));
        deployment = LocalDeployment.start(DeploymentSize.wellenbund().withProcesses(3, 1, 1, 1), launcher);
        operators = new Operators(deployment, launcher);
        watch = VersionWatch.start(deployment);
    }

    @AfterClass(alwaysRun = true)
    public void stopDeployment() throws Exception {
        if (watch != null) {
            watch.close();
        }
        if (deployment != null) {
            deployment.close();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void endFailures() {
        deployment.getEndpoint("log").control(Map.of("outage", false, "slow_millis", 0));
    }

    @Test
    public void everyVersionIsInForceEverywhereWithinThreeSecondsOfItsRecord() throws Exception {
        long base = current();
        long slowest = 0;
        for (int i = 0; i < ROUNDS; i++) {
            long start = System.nanoTime();
            operators.appendVersions(base + i, 1);
            assertInForce(base + i + 1);
            slowest = Math.max(slowest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
            // Falls into different moments of the polls of the nodes.
            Thread.sleep(17 * i);
        }
        assertTrue(slowest <= IN_FORCE_MILLIS, slowest + " ms");
        LOG.log(System.Logger.Level.INFO, "{0} versions, the slowest everywhere in {1} ms", ROUNDS, slowest);
    }

    @Test
    public void ofTwoOperatorsThatRaceOneWinsAndTheOtherIsToldWhoWon() throws Exception {
        long base = current();
        // Slow reads let both see the same base before either appends.
        deployment.getEndpoint("log").control(Map.of("slow_millis", 200));
        ManagedProcess ann = operators.startPublish("ann", base);
        ManagedProcess ben = operators.startPublish("ben", base);
        int statusOfAnn = ann.awaitEnd(COMMAND_MILLIS).orElseThrow();
        int statusOfBen = ben.awaitEnd(COMMAND_MILLIS).orElseThrow();
        assertInForce(base + 1);
        assertEquals(statusOfAnn + statusOfBen, CONFLICT, statusOfAnn + " and " + statusOfBen);
        String winner = statusOfAnn == 0 ? "ann" : "ben";
        String output = String.join("\n", (statusOfAnn == 0 ? ben : ann).getOutput());
        String expected =
                "not accepted: version " + (base + 1) + " was published first on base " + base + ", by " + winner;
        assertTrue(output.contains(expected), output);
        assertTrue(output.contains("merge your change"), output);
    }

    @Test
    public void aPublicationWhoseAnswerIsLostIsReportedAsAccepted() throws Exception {
        long base = current();
        deployment.getEndpoint("log").control(Map.of("lose_next", 1));
        assertEquals(operators.publish("ann", base), 0);
        assertInForce(base + 1);
    }

    @Test
    public void anUnreadableRecordChangesNothing() throws Exception {
        long base = current();
        operators.append("{\"kind\":\"publish\",\"base\":");
        operators.append(new byte[] {(byte) 0xff, 0, 1, 2});
        operators.append("{\"kind\":\"unheard-of\"}");
        assertEquals(operators.publish("ann", base), 0);
        assertInForce(base + 1);
        restart("entry-1", base + 1);
    }

    @Test
    public void restartsOfAllNodesOneByOneKeepTheVersion() throws Exception {
        long base = current();
        assertEquals(operators.publish("ann", base), 0);
        assertInForce(base + 1);
        for (String node : deployment.getNodes()) {
            restart(node, base + 1);
        }
    }

    /** A node that reads a long history page by page must not put the versions on the way in force. */
    @Test
    public void aNodeThatReadsALongHistoryStartsWithTheLatestVersion() throws Exception {
        long base = current();
        operators.appendVersions(base, 120);
        assertInForce(base + 120);
        deployment.getEndpoint("log").control(Map.of("slow_millis", 200));
        for (String node : deployment.getNodes()) {
            deployment.killNode(node);
        }
        restart("entry-2", base + 120);
        restart("entry-1", base + 120);
        restart("entry-3", base + 120);
    }

    @Test
    public void aNodeStartedInALogOutageGetsTheVersionFromItsPeers() throws Exception {
        long base = current();
        assertEquals(operators.publish("ann", base), 0);
        assertInForce(base + 1);
        deployment.getEndpoint("log").control(Map.of("outage", true));
        restart("entry-3", base + 1);
        deployment.getEndpoint("log").control(Map.of("outage", false));
        assertEquals(operators.publish("ann", base + 1), 0);
        assertInForce(base + 2);
    }

    /** Looks back on all tests of this class. */
    @Test(priority = 1)
    public void noNodeEverWentBackToAnOlderVersion() {
        assertEquals(watch.getReversions(), List.of());
    }

    /** Restarts a node; the first version that it puts in force must be the expected one. */
    private void restart(String node, long version) throws IOException {
        if (deployment.getProcess(node).isAlive()) {
            deployment.killNode(node);
        }
        deployment.restartNode(node);
        assertEquals(deployment.findVersion(node).orElseThrow(), (Long) version);
        List<String> inForce = deployment.getProcess(node).getOutput().stream()
                .filter(l -> l.contains("is in force"))
                .toList();
        assertTrue(
                inForce.size() == 1 && inForce.get(0).contains("version " + version + " "),
                "a node started with " + inForce);
    }

    private void assertInForce(long version) throws InterruptedException {
        assertTrue(watch.awaitEverywhere(version, IN_FORCE_MILLIS), "version " + version + " is late");
    }

    private long current() throws Exception {
        long version = deployment.findVersion("entry-1").orElseThrow();
        assertInForce(version);
        return version;
    }
}
