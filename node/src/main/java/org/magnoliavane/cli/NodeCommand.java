package org.magnoliavane.cli;

import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import io.vavr.control.Either;
import org.magnoliavane.config.TextProblem;
import org.magnoliavane.node.settings.Logging;
import org.magnoliavane.node.settings.NodeSettings;

/** Runs a node until the process receives a signal to stop. */
@Parameters(commandDescription = "Run a node until the process receives a signal to stop (SIGTERM)")
final class NodeCommand extends OperatorCommand {
    @Parameter(
            names = "--settings",
            required = true,
            converter = PathConverter.class,
            description = "Settings file of the node")
    private Path settings;

    private final NodeStarter starter;

    NodeCommand(NodeStarter starter) {
        this.starter = starter;
    }

    @Override
    String[] getExamples() {
        return new String[] {"--settings /etc/magnoliavane/node.toml"};
    }

    @Override
    Report run() throws InterruptedException {
        Either<List<TextProblem>, NodeSettings> read = NodeSettings.read(settings);
        if (read.isLeft()) {
            return Report.problems(settings.toString(), read.getLeft());
        }
        Logging.configure(read.get().logLevel(), read.get().logFormat());
        AutoCloseable node;
        try {
            node = starter.start(read.get());
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            System.getLogger(NodeCommand.class.getName()).log(Level.ERROR, "the node cannot be started", e);
            return Report.failure(
                    ExitStatus.FAILED,
                    "the node cannot be started: " + e,
                    "Check that the address of [listen] is one of this VM and that its ports are free.");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        // Waits forever; the shutdown hook ends the process.
        new CountDownLatch(1).await();
        return Report.of(ExitStatus.OK, "stopped");
    }

    /** Closes a node and ends the process. Without {@code halt}, the status would be 143 even after a graceful shutdown. */
    static void stop(AutoCloseable node) {
        int status = ExitStatus.OK;
        try {
            node.close();
        } catch (Exception e) {
            System.getLogger(NodeCommand.class.getName()).log(Level.ERROR, "the node did not stop cleanly", e);
            status = ExitStatus.FAILED;
        } finally {
            Runtime.getRuntime().halt(status);
        }
    }
}
