package org.magnoliavane.systemtest.streams;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.magnoliavane.emulator.load.ChatOutcome;
import org.magnoliavane.emulator.load.LoadResult;
import org.magnoliavane.emulator.load.LoadRun;
import org.magnoliavane.systemtest.LocalDeployment;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/**
 * Tests that no answer is lost, duplicated or delivered to another request when nodes and workers are killed under
 * load.
 */
public final class ExactlyOneAnswerTest {
    private static final int CHATS = 2_000;
    private static final int CHATS_PER_SECOND = 80;
    private static final long RUN_TIMEOUT_SECONDS = 90;
    private static final long MAX_RELEASE_MILLIS = 8_000;

    private StreamsDeployment streams;

    @BeforeClass
    public void start() throws IOException {
        streams = StreamsDeployment.start(3, 3, 4);
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        if (streams != null) {
            streams.close();
        }
    }

    @Test
    public void everyChatGetsOneCompleteAnswerOrOneFinalErrorWhileProcessesAreKilled() throws Exception {
        LocalDeployment deployment = streams.getDeployment();
        CompletableFuture<LoadResult> load = LoadRun.start(toOptions(deployment));
        killProcesses(deployment);
        LoadResult result = load.get(RUN_TIMEOUT_SECONDS, TimeUnit.SECONDS);

        LoadResult.Chats chats = result.chats();
        String counts = chats.outcomes() + " errors " + chats.errors() + " resumes " + chats.resumes() + " in "
                + result.seconds() + " s";
        System.out.println("chats while processes are killed: " + counts);
        int complete = chats.count(ChatOutcome.COMPLETE);
        int ended = complete + chats.count(ChatOutcome.REFUSED) + chats.count(ChatOutcome.FAILED);
        assertEquals(ended, CHATS, counts);
        assertTrue(chats.resumes() > 0, "no stream was interrupted: " + counts);
        assertTrue(complete >= CHATS * 3 / 4, counts);
        streams.awaitMemoryFreed(MAX_RELEASE_MILLIS);
    }

    private static void killProcesses(LocalDeployment deployment) throws IOException {
        StreamsDeployment.sleep(2_000);
        deployment.killNode("entry-1");
        deployment.restartNode("entry-1");
        StreamsDeployment.sleep(1_500);
        deployment.replaceWorker("decode-1");
        StreamsDeployment.sleep(1_500);
        deployment.replaceWorker("prefill-1");
        StreamsDeployment.sleep(1_500);
        deployment.killNode("entry-2");
        deployment.replaceWorker("decode-2");
        deployment.restartNode("entry-2");
        StreamsDeployment.sleep(1_500);
        deployment.killNode("entry-3");
        deployment.restartNode("entry-3");
    }

    private static String[] toOptions(LocalDeployment deployment) {
        List<String> urls = deployment.getNodes().stream()
                .map(node -> deployment.getEndpoint(node).getUrl())
                .toList();
        Stream<String> options = Stream.of(
                "--nodes=" + String.join(",", urls),
                "--key=" + deployment.getSpec().bearerKey(),
                "--model=" + StreamsDeployment.MODEL,
                "--classes=standard=1,patient=1",
                "--count=" + CHATS,
                "--rate=" + CHATS_PER_SECOND,
                "--seed=4711",
                "--prompt-median-tokens=40",
                "--prompt-sigma=0.3",
                "--prompt-max-tokens=200",
                "--prefix-share=0",
                "--output-median-tokens=15",
                "--output-sigma=0.15",
                "--max-tokens=20",
                "--give-up-millis=40000");
        return options.flatMap(option -> Stream.of(option.split("=", 2))).toArray(String[]::new);
    }
}
