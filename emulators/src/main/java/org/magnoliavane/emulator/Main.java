package org.magnoliavane.emulator;

import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import org.magnoliavane.emulator.booking.BookingEmulator;
import org.magnoliavane.emulator.booking.BookingOptions;
import org.magnoliavane.emulator.engine.EngineEmulator;
import org.magnoliavane.emulator.engine.EngineOptions;
import org.magnoliavane.emulator.load.LoadOptions;
import org.magnoliavane.emulator.load.LoadRun;
import org.magnoliavane.emulator.log.LogEmulator;
import org.magnoliavane.emulator.log.LogOptions;
import org.magnoliavane.emulator.vm.VmListEmulator;
import org.magnoliavane.emulator.vm.VmListOptions;
import org.magnoliavane.emulator.weights.WeightStoreEmulator;
import org.magnoliavane.emulator.weights.WeightStoreOptions;

/**
 * Entry point of the emulators. The exit status is 0 after help or a normal end, 1 when a command failed and 2 for
 * wrong arguments.
 */
public final class Main {
    private static final int FAILED = 1;
    private static final int WRONG_ARGUMENTS = 2;

    private static final Map<String, Command<?>> COMMANDS = new TreeMap<>(Map.of(
            "booking", serverCommand(BookingOptions::new, BookingEmulator::start),
            "engine", serverCommand(EngineOptions::new, EngineEmulator::start),
            "load", new Command<>(LoadOptions::new, LoadRun::runAndPrint),
            "log", serverCommand(LogOptions::new, LogEmulator::start),
            "vmlist", serverCommand(VmListOptions::new, VmListEmulator::start),
            "weights", serverCommand(WeightStoreOptions::new, WeightStoreEmulator::start)));

    private Main() {}

    /**
     * Runs the command that the first argument names.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String... arguments) {
        Command<?> command = arguments.length == 0 ? null : COMMANDS.get(arguments[0]);
        if (command == null) {
            boolean help = arguments.length > 0 && arguments[0].equals("--help");
            System.err.println("usage: magnoliavane-emulators " + String.join("|", COMMANDS.keySet()) + " [options]");
            return help ? 0 : WRONG_ARGUMENTS;
        }
        try {
            return command.run(arguments[0], Arrays.copyOfRange(arguments, 1, arguments.length));
        } catch (ParameterException e) {
            System.err.println(e.getMessage() + "; see " + arguments[0] + " --help");
            return WRONG_ARGUMENTS;
        } catch (IOException e) {
            System.err.println(arguments[0] + " failed: " + e.getMessage());
            return FAILED;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILED;
        }
    }

    private static <O extends ServerOptions> Command<O> serverCommand(Supplier<O> options, Starter<O> starter) {
        return new Command<>(options, parsed -> {
            Emulator emulator = starter.start(parsed);
            System.out.println("listening " + parsed.getHost() + " " + emulator.getPort());
            Thread.currentThread().join();
        });
    }

    /** Starts an emulator with the given options. */
    @FunctionalInterface
    private interface Starter<O> {
        Emulator start(O options) throws IOException;
    }

    /** Runs a command to its end. */
    @FunctionalInterface
    private interface Program<O> {
        void run(O options) throws IOException, InterruptedException;
    }

    private record Command<O extends CommandOptions>(Supplier<O> options, Program<O> program) {
        int run(String name, String... arguments) throws IOException, InterruptedException {
            O parsed = CommandOptions.parse(options.get(), arguments);
            if (parsed.isHelp()) {
                JCommander usage = JCommander.newBuilder()
                        .programName("magnoliavane-emulators " + name)
                        .addObject(options.get())
                        .build();
                usage.usage();
                return 0;
            }
            program.run(parsed);
            return 0;
        }
    }
}
