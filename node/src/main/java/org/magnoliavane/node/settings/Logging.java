package org.magnoliavane.node.settings;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.Map;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Configures {@code java.util.logging}, the backend of {@link System.Logger} and SLF4J, so that each event is one line of
 * output.
 *
 * <p>Not thread-safe; the configuration belongs to the whole process.
 */
public final class Logging {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ROOT_PACKAGE = "org.magnoliavane";
    private static final Map<Level, java.util.logging.Level> LEVELS = Map.of(
            Level.ERROR, java.util.logging.Level.SEVERE,
            Level.WARNING, java.util.logging.Level.WARNING,
            Level.INFO, java.util.logging.Level.INFO,
            Level.DEBUG, java.util.logging.Level.FINE,
            Level.TRACE, java.util.logging.Level.FINER);
    // The log manager holds loggers by weak references only; without this strong one the level would be lost.
    private static final Logger ROOT_LOGGER = Logger.getLogger(ROOT_PACKAGE);

    private Logging() {}

    /**
     * Replaces all handlers of the process by one that writes to standard error. Levels below INFO apply to the loggers of
     * this program only.
     *
     * @param level the minimum level that is logged
     * @param format the format of the output
     */
    public static void configure(Level level, LogFormat format) {
        LogManager.getLogManager().reset();
        java.util.logging.Level minimum = LEVELS.get(level);
        Handler handler = new ConsoleHandler();
        handler.setLevel(java.util.logging.Level.ALL);
        handler.setFormatter(format == LogFormat.JSON ? new JsonFormatter() : new TextFormatter());
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(
                minimum.intValue() > java.util.logging.Level.INFO.intValue() ? minimum : java.util.logging.Level.INFO);
        ROOT_LOGGER.setLevel(minimum);
    }

    /**
     * Replaces all handlers of the process by one that writes text to standard output. A separate thread writes the lines,
     * so that logging never blocks a request; when its queue is full, lines are dropped and counted.
     *
     * @param level the minimum level that is logged
     */
    public static void configureStandardOutput(Level level) {
        configure(level, LogFormat.TEXT);
        Logger root = Logger.getLogger("");
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        root.addHandler(new AsyncLogHandler(System.out, new TextFormatter()));
    }

    private static String toLevelName(java.util.logging.Level level) {
        for (Map.Entry<Level, java.util.logging.Level> entry : LEVELS.entrySet()) {
            if (entry.getValue().equals(level)) {
                return entry.getKey().getName();
            }
        }
        return level.getName();
    }

    private static String toStackTrace(Throwable thrown) {
        StringWriter text = new StringWriter();
        thrown.printStackTrace(new PrintWriter(text));
        return text.toString();
    }

    /** Formats events as lines of text. Escapes line breaks in a message, so that it cannot be mistaken for two events. */
    static final class TextFormatter extends Formatter {
        @Override
        public String format(LogRecord event) {
            String line = Instant.ofEpochMilli(event.getMillis()) + " " + toLevelName(event.getLevel()) + " "
                    + event.getLoggerName() + " - "
                    + formatMessage(event).replace("\r", "\\r").replace("\n", "\\n") + "\n";
            return event.getThrown() == null ? line : line + toStackTrace(event.getThrown());
        }
    }

    /** Formats events as JSON objects, one on each line. */
    static final class JsonFormatter extends Formatter {
        @Override
        public String format(LogRecord event) {
            ObjectNode line = MAPPER.createObjectNode();
            line.put("time", Instant.ofEpochMilli(event.getMillis()).toString());
            line.put("level", toLevelName(event.getLevel()));
            line.put("logger", event.getLoggerName());
            line.put("message", formatMessage(event));
            if (event.getThrown() != null) {
                line.put("error", toStackTrace(event.getThrown()));
            }
            return line + "\n";
        }
    }
}
