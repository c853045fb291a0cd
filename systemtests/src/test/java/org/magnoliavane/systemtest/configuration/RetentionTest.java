package org.magnoliavane.systemtest.configuration;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.magnoliavane.systemtest.DeploymentSpec;
import org.magnoliavane.systemtest.Launcher;
import org.magnoliavane.systemtest.LocalDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Tests that the version in force is kept when the log service removes the record that published it. */
public class RetentionTest {
    private static final Path ROOT = Files.isDirectory(Path.of("examples")) ? Path.of("") : Path.of("..");
    private static final long RETENTION_MILLIS = 5000;
    private static final long MAX_ACTIVATION_MILLIS = 3000;

    private LocalDeployment deployment;
    private ConfigurationPublisher publisher;

    @BeforeClass(alwaysRun = true)
    public void startDeployment() throws Exception {
        Launcher launcher = Launcher.of(ROOT, Path.of("target/system/retention"));
        DeploymentSpec spec = DeploymentSpec.wellenbund().withProcesses(2, 1, 1, 1);
        deployment = LocalDeployment.start(spec, launcher, RETENTION_MILLIS);
        publisher = new ConfigurationPublisher(deployment, launcher);
    }

    @AfterClass(alwaysRun = true)
    public void stopDeployment() {
        if (deployment != null) {
            deployment.close();
        }
    }

    @Test
    public void theVersionOutlivesItsRecordThroughRestartsAndAnOutage() throws Exception {
        try (VersionMonitor monitor = VersionMonitor.start(deployment)) {
            assertEquals(publisher.publish("ann", 1), 0);
            assertTrue(monitor.awaitEverywhere(2, MAX_ACTIVATION_MILLIS));
            awaitRemovalOf(1);
            restart("entry-1", 2);
            deployment.getNodes().forEach(deployment::killNode);
            // No peer is running, so the node must read the version from the stream.
            restart("entry-2", 2);
            deployment.getEndpoint("log").setFaults(Map.of("outage", true));
            restart("entry-1", 2);
            deployment.getEndpoint("log").setFaults(Map.of("outage", false));
            assertEquals(publisher.publish("ben", 2), 0);
            assertTrue(monitor.awaitEverywhere(3, MAX_ACTIVATION_MILLIS));
            assertEquals(monitor.getReversions(), List.of());
        }
    }

    private void awaitRemovalOf(long offset) throws Exception {
        long end = System.nanoTime() + 3 * RETENTION_MILLIS * 1_000_000;
        while (publisher.findFirstOffset() <= offset) {
            assertTrue(System.nanoTime() < end, "the record was not removed in time");
            Thread.sleep(100);
        }
    }

    private void restart(String node, long version) throws Exception {
        if (deployment.getProcess(node).isAlive()) {
            deployment.killNode(node);
        }
        deployment.restartNode(node);
        assertEquals(deployment.findConfigurationVersion(node).orElseThrow(), (Long) version);
    }
}
