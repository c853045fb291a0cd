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
import org.magnoliavane.emulator.log.LogEmulator;
import org.magnoliavane.emulator.log.LogOptions;
import org.magnoliavane.emulator.vm.VmListEmulator;
import org.magnoliavane.emulator.vm.VmListOptions;

/**
 * Entry point of the emulators. Exit status: 0 after help or a clean end, 1 when an emulator could not start, 2 for
 * wrong arguments.
 */
public final class Main {
    private static final int FAILED = 1;
    private static final int WRONG_ARGUMENTS = 2;

    private static final Map<String, Command<?>> COMMANDS = new TreeMap<>(Map.of(
            "booking", new Command<>(BookingOptions::new, BookingEmulator::start),
            "engine", new Command<>(EngineOptions::new, EngineEmulator::start),
            "log", new Command<>(LogOptions::new, LogEmulator::start),
            "vmlist", new Command<>(VmListOptions::new, VmListEmulator::start)));

    private Main() {}

    /**
     * Runs the command that the first argument names until the process is ended.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        int status = run(arguments);
        if (status != 0) {
            System.exit(status);
        }
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

    /** Runs what the options say; may wait until the work is done. */
    @FunctionalInterface
    private interface Starter<O> {
        Emulator start(O options) throws IOException;
    }

    private record Command<O extends ServerOptions>(Supplier<O> options, Starter<O> starter) {
        int run(String name, String... arguments) throws IOException, InterruptedException {
            O parsed = ServerOptions.parse(options.get(), arguments);
            if (parsed.isHelp()) {
                JCommander usage = JCommander.newBuilder()
                        .programName("magnoliavane-emulators " + name)
                        .addObject(options.get())
                        .build();
                usage.usage();
                return 0;
            }
            Emulator emulator = starter.start(parsed);
            System.out.println("listening " + parsed.getHost() + " " + emulator.getPort());
            Thread.currentThread().join();
            return 0;
        }
    }
}
