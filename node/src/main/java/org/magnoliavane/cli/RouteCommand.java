package org.magnoliavane.cli;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.converters.PathConverter;
import io.vavr.control.Either;
import org.magnoliavane.config.TextProblem;
import org.magnoliavane.node.settings.Logging;
import org.magnoliavane.platform.PlatformRouter;
import org.magnoliavane.platform.WarmupRun;
import org.magnoliavane.router.settings.RouterSettings;
import sun.misc.Signal;

/** Runs a router on the users' platform until the process receives a signal to stop. */
@Parameters(commandDescription = "Run a router on the platform until the process receives a signal to stop (SIGTERM)")
final class RouteCommand extends OperatorCommand {
    @Parameter(
            names = "--settings",
            converter = PathConverter.class,
            description = "Settings file of the router; the platform names it in the environment otherwise")
    private Path settings;

    @Parameter(names = "--check", description = "Check the settings file and exit")
    private boolean check;

    @Parameter(
            names = "--rehearse",
            description =
                    "Start on loopback, serve a few requests and exit; the build records the classes that this loads")
    private boolean warmup;

    @Override
    String[] getExamples() {
        return new String[] {"", "--settings router.toml", "--settings router.toml --check", "--rehearse"};
    }

    @Override
    Report run() throws InterruptedException {
        if (warmup) {
            return runWarmup();
        }
        Optional<Path> file = Optional.ofNullable(settings).or(PlatformRouter::findSettings);
        if (file.isEmpty()) {
            return Report.failure(ExitStatus.USAGE, "no settings file is named", "Give --settings FILE.");
        }
        Either<List<TextProblem>, RouterSettings> read = RouterSettings.read(file.get());
        if (read.isLeft()) {
            return Report.problems(file.get().toString(), read.getLeft());
        }
        if (check) {
            return Report.of(ExitStatus.OK, "the settings are valid");
        }
        Logging.configureStandardOutput(read.get().logLevel());
        AutoCloseable router;
        try {
            router = PlatformRouter.start(read.get());
        } catch (Exception e) {
            System.getLogger(RouteCommand.class.getName()).log(Level.ERROR, "the router cannot be started", e);
            return Report.failure(
                    ExitStatus.FAILED,
                    "the router cannot be started: " + e,
                    "Check that the addresses of [listen] are of this VM and that their ports are free.");
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> NodeCommand.stop(router), "stop"));
        // Without a handler, SIGHUP would end the process.
        Signal.handle(new Signal("HUP"), signal -> reload(file.get(), read.get()));
        new CountDownLatch(1).await();
        return Report.of(ExitStatus.OK, "stopped");
    }

    private static Report runWarmup() throws InterruptedException {
        Logging.configureStandardOutput(Level.WARNING);
        try {
            WarmupRun.run();
            return Report.of(ExitStatus.OK, "rehearsed");
        } catch (IOException e) {
            return Report.failure(ExitStatus.FAILED, "no port on loopback: " + e, "Free some ports of this machine.");
        }
    }

    private static void reload(Path file, RouterSettings running) {
        Either<List<TextProblem>, RouterSettings> read = RouterSettings.read(file);
        String outcome = read.fold(
                problems -> "rejected problems=\"" + problems + '"',
                changed -> changed.equals(running) ? "unchanged" : "changed, in force after the next start");
        System.getLogger(RouteCommand.class.getName()).log(Level.INFO, () -> "event=reload outcome=" + outcome);
    }
}
