package org.magnoliavane.cli;

import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

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
    private static final System.Logger LOG = System.getLogger(RouteCommand.class.getName());

    /** Signals with handlers instead of a shutdown hook, beside which the JDK would end all logging. */
    private static final List<String> STOP_SIGNALS = List.of("TERM", "INT");

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
        // Without a handler, SIGHUP would end the process. Signals may come while the router starts.
        Signal.handle(new Signal("HUP"), signal -> reload(file.get(), read.get()));
        CompletableFuture<AutoCloseable> router = new CompletableFuture<>();
        AtomicBoolean stopping = new AtomicBoolean();
        for (String name : STOP_SIGNALS) {
            Signal.handle(new Signal(name), signal -> {
                if (stopping.compareAndSet(false, true)) {
                    stopOnceStarted(router);
                }
            });
        }
        try {
            router.complete(PlatformRouter.start(read.get()));
        } catch (Exception | Error e) {
            router.completeExceptionally(e);
            LOG.log(Level.ERROR, "the router cannot be started", e);
            return Report.failure(
                    ExitStatus.FAILED,
                    "the router cannot be started: " + e,
                    "Check that the addresses of [listen] are of this VM and that their ports are free.");
        }
        new CountDownLatch(1).await();
        return Report.of(ExitStatus.OK, "stopped");
    }

    private static void stopOnceStarted(CompletableFuture<AutoCloseable> router) {
        try {
            NodeCommand.stop(router.join());
        } catch (CompletionException e) {
            LOG.log(Level.DEBUG, "event=not_started", e);
        }
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
        LOG.log(Level.INFO, () -> "event=reload outcome=" + outcome);
    }
}
