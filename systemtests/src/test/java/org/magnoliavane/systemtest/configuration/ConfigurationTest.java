package org.magnoliavane.systemtest.configuration;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.magnoliavane.systemtest.ManagedProcess;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that each configuration version takes effect in time at every node and that no node returns to an older
 * version.
 */
public class ConfigurationTest {
    private static final System.Logger LOG = System.getLogger(ConfigurationTest.class.getName());
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final long MAX_ACTIVATION_MILLIS = 3000;
    private static final long COMMAND_TIMEOUT_MILLIS = 30_000;
    private static final int CONFLICT_STATUS = 4;
    private static final int ROUNDS = 20;

    private LocalDeployment deployment;
    private ConfigurationPublisher publisher;
    private VersionMonitor monitor;

    @BeforeClass
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/configuration"));
        deployment = LocalDeployment.start(DeploymentSpec.wellenbund().withProcesses(3, 1, 1, 1), launcher);
        publisher = new ConfigurationPublisher(deployment, launcher);
        monitor = VersionMonitor.start(deployment);
    }

    @AfterClass(alwaysRun = true)
    public void stopDeployment() throws Exception {
        if (monitor != null) {
            monitor.close();
        }
        if (deployment != null) {
            deployment.close();
        }
    }

    @AfterMethod(alwaysRun = true)
    public void clearFaults() {
        deployment.getEndpoint("log").setFaults(Map.of("outage", false, "slow_millis", 0));
    }

    @Test
    public void everyVersionIsInForceEverywhereWithinThreeSecondsOfItsRecord() throws Exception {
        long base = getCurrentVersion();
        long slowest = 0;
        for (int i = 0; i < ROUNDS; i++) {
            long start = System.nanoTime();
            publisher.appendVersions(base + i, 1);
            assertInForce(base + i + 1);
            slowest = Math.max(slowest, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
            // Varies the time of the append within the poll interval of the nodes.
            Thread.sleep(17 * i);
        }
        assertTrue(slowest <= MAX_ACTIVATION_MILLIS, slowest + " ms");
        LOG.log(
                System.Logger.Level.INFO,
                "{0} versions, the slowest in force everywhere after {1} ms",
                ROUNDS,
                slowest);
    }

    @Test
    public void ofTwoConcurrentPublicationsOneIsAcceptedAndTheOtherNamesTheWinner() throws Exception {
        long base = getCurrentVersion();
        // Slow reads make both clients read the same base before either appends.
        deployment.getEndpoint("log").setFaults(Map.of("slow_millis", 200));
        ManagedProcess ann = publisher.startPublish("ann", base);
        ManagedProcess ben = publisher.startPublish("ben", base);
        int statusOfAnn = ann.awaitExit(COMMAND_TIMEOUT_MILLIS).orElseThrow();
        int statusOfBen = ben.awaitExit(COMMAND_TIMEOUT_MILLIS).orElseThrow();
        assertInForce(base + 1);
        assertEquals(statusOfAnn + statusOfBen, CONFLICT_STATUS, statusOfAnn + " and " + statusOfBen);
        String winner = statusOfAnn == 0 ? "ann" : "ben";
        String output = String.join("\n", (statusOfAnn == 0 ? ben : ann).getOutputLines());
        String expected =
                "not accepted: version " + (base + 1) + " was published first on base " + base + ", by " + winner;
        assertTrue(output.contains(expected), output);
        assertTrue(output.contains("merge your change"), output);
    }

    @Test
    public void aPublicationWhoseResponseIsLostIsReportedAsAccepted() throws Exception {
        long base = getCurrentVersion();
        deployment.getEndpoint("log").setFaults(Map.of("lose_next", 1));
        assertEquals(publisher.publish("ann", base), 0);
        assertInForce(base + 1);
    }

    @Test
    public void anUnreadableRecordIsIgnored() throws Exception {
        long base = getCurrentVersion();
        publisher.append("{\"kind\":\"publish\",\"base\":");
        publisher.append(new byte[] {(byte) 0xff, 0, 1, 2});
        publisher.append("{\"kind\":\"unheard-of\"}");
        assertEquals(publisher.publish("ann", base), 0);
        assertInForce(base + 1);
        restart("entry-1", base + 1);
    }

    @Test
    public void restartsOfAllNodesOneByOneKeepTheVersion() throws Exception {
        long base = getCurrentVersion();
        assertEquals(publisher.publish("ann", base), 0);
        assertInForce(base + 1);
        for (String node : deployment.getNodes()) {
            restart(node, base + 1);
        }
    }

    /** A node that reads a long history page by page must not put the intermediate versions in force. */
    @Test
    public void aNodeThatReadsALongHistoryStartsWithTheLatestVersion() throws Exception {
        long base = getCurrentVersion();
        publisher.appendVersions(base, 120);
        assertInForce(base + 120);
        deployment.getEndpoint("log").setFaults(Map.of("slow_millis", 200));
        for (String node : deployment.getNodes()) {
            deployment.killNode(node);
        }
        restart("entry-2", base + 120);
        restart("entry-1", base + 120);
        restart("entry-3", base + 120);
    }

    @Test
    public void aNodeStartedDuringALogOutageGetsTheVersionFromItsPeers() throws Exception {
        long base = getCurrentVersion();
        assertEquals(publisher.publish("ann", base), 0);
        assertInForce(base + 1);
        deployment.getEndpoint("log").setFaults(Map.of("outage", true));
        restart("entry-3", base + 1);
        deployment.getEndpoint("log").setFaults(Map.of("outage", false));
        assertEquals(publisher.publish("ann", base + 1), 0);
        assertInForce(base + 2);
    }

    /** Checks the versions seen during all tests of this class, so it runs last. */
    @Test(priority = 1)
    public void noNodeReturnedToAnOlderVersion() {
        assertEquals(monitor.getReversions(), List.of());
    }

    /** Restarts a node; the first version that it puts in force must be the expected one. */
    private void restart(String node, long version) throws IOException {
        if (deployment.getProcess(node).isAlive()) {
            deployment.killNode(node);
        }
        deployment.restartNode(node);
        assertEquals(deployment.findConfigurationVersion(node).orElseThrow(), (Long) version);
        List<String> inForce = deployment.getProcess(node).getOutputLines().stream()
                .filter(l -> l.contains("is in force"))
                .toList();
        assertTrue(
                inForce.size() == 1 && inForce.get(0).contains("version " + version + " "),
                "a node started with " + inForce);
    }

    private void assertInForce(long version) throws InterruptedException {
        assertTrue(
                monitor.awaitEverywhere(version, MAX_ACTIVATION_MILLIS),
                "version " + version + " is not in force everywhere in time");
    }

    private long getCurrentVersion() throws Exception {
        long version = deployment.findConfigurationVersion("entry-1").orElseThrow();
        assertInForce(version);
        return version;
    }
}
