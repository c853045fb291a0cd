package org.magnoliavane.cli;

import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import org.magnoliavane.config.ConfigurationRecord;
import org.magnoliavane.node.log.LogPage;
import org.magnoliavane.node.log.LogService;
import org.magnoliavane.node.log.LogUnavailableException;

/** Reads and appends to the stream of configurations. Reads are retried until a deadline. */
final class ConfigurationStreamClient {
    private static final int PAGE_RECORDS = 50;
    private static final long RETRY_DELAY_MILLIS = 250;

    private final LogService log;
    private final long deadlineNanos;

    ConfigurationStreamClient(LogService log, long deadlineNanos) {
        this.log = log;
        this.deadlineNanos = deadlineNanos;
    }

    boolean isDeadlineReached() {
        return System.nanoTime() >= deadlineNanos;
    }

    /** Waits for the delay between two attempts. */
    void pauseBeforeRetry() throws InterruptedException {
        Thread.sleep(RETRY_DELAY_MILLIS);
    }

    LogPage read(long from) throws CommandException, InterruptedException {
        while (true) {
            try {
                return join(log.read(ConfigurationRecord.STREAM, from, PAGE_RECORDS, 0));
            } catch (LogUnavailableException e) {
                if (isDeadlineReached()) {
                    throw new CommandException(Report.failure(
                            ExitStatus.UNREACHABLE, e.getMessage(), "Check --log, then run the command again."));
                }
                pauseBeforeRetry();
            }
        }
    }

    /** Appends a record without a retry. */
    long append(byte[] data) throws LogUnavailableException {
        return join(log.append(ConfigurationRecord.STREAM, data));
    }

    private static <T> T join(CompletionStage<T> stage) throws LogUnavailableException {
        try {
            return stage.toCompletableFuture().join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof LogUnavailableException unavailable) {
                throw unavailable;
            }
            throw e;
        }
    }
}
