package org.magnoliavane.node.log;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.http.HttpClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

public class HttpLogServiceTest {
    private TestLogServer server;
    private HttpClient client;
    private HttpLogService log;

    @BeforeMethod
    public void open() throws IOException {
        server = new TestLogServer();
        client = HttpClient.open("log-test");
        log = new HttpLogService(client, server.getEndpoint());
    }

    @AfterMethod(alwaysRun = true)
    public void close() throws IOException {
        server.close();
        client.close();
    }

    @Test
    public void recordsAreReadWithTheirOffsetsAndBytes() {
        byte[] data = {0, -1, 10, 13};
        assertEquals(join(log.append("configuration", data)), Long.valueOf(0));
        LogPage page = join(log.read("configuration", 0, 10, 0));
        assertEquals(page.records().get(0).data(), data);
        assertEquals(page.nextOffset(), 1);
    }

    @Test
    public void aReadFromARemovedOffsetStartsAtTheOldestRecordKept() {
        for (int i = 0; i < 3; i++) {
            join(log.append("configuration", new byte[] {(byte) i}));
        }
        server.getLog().removeBefore(2);
        LogPage page = join(log.read("configuration", 0, 10, 0));
        assertEquals(page.firstOffset(), 2);
        assertEquals(page.records().get(0).offset(), 2);
    }

    @DataProvider
    public Object[][] statuses() {
        return new Object[][] {{429, false}, {503, false}, {400, false}, {500, true}, {504, true}, {200, true}};
    }

    /** Guards against a record that is appended a second time although its first append took effect. */
    @Test(dataProvider = "statuses")
    public void theStatusDeterminesWhetherAnAppendMayHaveTakenEffect(int status, boolean unknown) {
        server.setForcedStatus(status);
        assertEquals(failure(log.append("configuration", new byte[1])).isOutcomeUnknown(), unknown);
    }

    @Test
    public void aLostResponseLeavesTheOutcomeUnknown() {
        server.getLog().loseResponses(1);
        assertTrue(failure(log.append("configuration", new byte[1])).isOutcomeUnknown());
        assertEquals(server.getLog().getNextOffset(), 1);
    }

    @Test
    public void aRefusedConnectionMeansThatNothingWasAppended() {
        server.close();
        LogUnavailableException failure = failure(log.append("configuration", new byte[1]));
        assertEquals(failure.isOutcomeUnknown(), false);
        assertTrue(failure.getMessage().contains("check the log service"), failure.getMessage());
    }

    /** Guards against a poll that waits forever on an unresponsive connection. */
    @Test(timeOut = 10_000)
    public void aReadOnAnUnresponsiveConnectionTimesOutAndTheNextOneSucceeds() {
        server.setUnresponsive(true);
        failure(log.read("configuration", 0, 10, 100));
        server.setUnresponsive(false);
        assertEquals(join(log.read("configuration", 0, 10, 0)).nextOffset(), 0);
    }

    private static LogUnavailableException failure(CompletionStage<?> stage) {
        Throwable cause =
                expectThrows(CompletionException.class, () -> join(stage)).getCause();
        assertTrue(cause instanceof LogUnavailableException, String.valueOf(cause));
        return (LogUnavailableException) cause;
    }

    private static <T> T join(CompletionStage<T> stage) {
        return stage.toCompletableFuture().join();
    }
}
