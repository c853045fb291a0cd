package org.magnoliavane.cli;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.beust.jcommander.Parameter;
import org.magnoliavane.http.HttpClient;
import org.magnoliavane.node.log.HttpLogService;
import org.magnoliavane.node.settings.HttpEndpoint;

/** Options of the commands that use the log service. */
final class LogOptions {
    @Parameter(
            names = "--log",
            required = true,
            converter = EndpointConverter.class,
            description = "Log service, as http://<IP address>:<port>")
    private HttpEndpoint log;

    @Parameter(names = "--timeout-seconds", description = "Time for which the command retries, in seconds")
    private int timeoutSeconds = 30;

    <T> T runWithLog(LogAction<T> action) throws CommandException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(timeoutSeconds);
        try (HttpClient client = HttpClient.open("operator")) {
            return action.run(new ConfigurationStreamClient(new HttpLogService(client, log), deadlineNanos));
        } catch (IOException e) {
            throw new CommandException(Report.failure(
                    ExitStatus.FAILED, "the HTTP client failed: " + e, "Check the resource limits of this machine."));
        }
    }

    /** Action of a command that uses the log service. */
    interface LogAction<T> {
        T run(ConfigurationStreamClient log) throws CommandException, InterruptedException;
    }
}
