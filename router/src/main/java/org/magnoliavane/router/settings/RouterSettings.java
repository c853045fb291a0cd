package org.magnoliavane.router.settings;

import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

import io.vavr.control.Either;
import org.magnoliavane.config.SettingsFile;
import org.magnoliavane.config.TextProblem;
import org.magnoliavane.config.TomlTable;

/**
 * Settings of a router process. Unknown keys are ignored, since the platform that fills in the file may know more.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of this node
 * @param zone its availability zone
 * @param callers where callers are served
 * @param readiness where readiness is told
 * @param directory where callers learn the addresses of nodes
 * @param peerPort the UDP port for reports between nodes
 * @param metricsPort the TCP port of the metrics
 * @param store the store
 * @param addressLifetimeSeconds how long callers may keep the addresses of nodes
 * @param retryRatio the number of extra sends to a service for each request
 * @param retryAllowance further extra sends in a window, over all nodes
 * @param retryWindowMillis the window of the two figures above
 * @param stopGraceMillis the time between a request to stop and the end of the process
 * @param drainMillis how soon after its listing says so a leaving worker must get no new work
 * @param lapseGraceMillis how long a listing may take to come back after an outage of the store
 * @param orderLeaseMillis the time within which two nodes must not both give orders to workers; 0 for no orders
 * @param logLevel the least level that is logged
 */
public record RouterSettings(
        String name,
        String zone,
        HostPort callers,
        HostPort readiness,
        HostPort directory,
        int peerPort,
        int metricsPort,
        HostPort store,
        double addressLifetimeSeconds,
        double retryRatio,
        double retryAllowance,
        long retryWindowMillis,
        long stopGraceMillis,
        long drainMillis,
        long lapseGraceMillis,
        long orderLeaseMillis,
        Level logLevel) {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final String NAME_FORM = "1 to 128 letters, digits, ., - or _, not ., - or _ first";
    private static final Pattern ANY = Pattern.compile("(?s).*");
    private static final List<String> LEVELS = List.of("error", "warning", "info", "debug");
    private static final int MAX_PORT = 65_535;
    private static final double MILLIS = 1000;

    /**
     * Reads the settings file.
     *
     * @param file the file
     * @return the settings, or every problem found
     */
    public static Either<List<TextProblem>, RouterSettings> read(Path file) {
        return SettingsFile.read(file, RouterSettings::read);
    }

    /**
     * Reads the settings.
     *
     * @param text TOML
     * @return the settings, or every problem found
     */
    public static Either<List<TextProblem>, RouterSettings> parse(String text) {
        return SettingsFile.parse(text, RouterSettings::read);
    }

    private static RouterSettings read(TomlTable root) {
        TomlTable node = root.getTable("node");
        TomlTable listen = root.getTable("listen");
        TomlTable retries = root.getTable("retries");
        TomlTable timing = root.getTable("timing");
        TomlTable logging = root.getTable("logging");
        return new RouterSettings(
                node.getString("name", NAME, NAME_FORM),
                node.getString("zone", NAME, NAME_FORM),
                address(listen, "callers"),
                address(listen, "readiness"),
                address(listen, "directory"),
                (int) listen.getLong("peer_port", 1, MAX_PORT),
                (int) listen.getLong("metrics_port", 1, MAX_PORT),
                address(root.getTable("store"), "address"),
                timing.getDouble("address_lifetime_seconds", 0.5, 600),
                retries.getDouble("ratio", 0, 10),
                retries.getDouble("allowance", 0, 1_000_000),
                (long) (MILLIS * retries.getDouble("window_seconds", 0.1, 3600)),
                (long) (MILLIS * timing.getDouble("stop_grace_seconds", 0.5, 3600)),
                timing.getLong("drain_millis", 100, 3_600_000),
                (long) (MILLIS * timing.getDouble("lapse_grace_seconds", 0, 3600)),
                timing.getLong("order_lease_millis", 0, 3_600_000, 0),
                Level.valueOf(logging.getOneOf("level", LEVELS, "info").toUpperCase(Locale.ROOT)));
    }

    private static HostPort address(TomlTable table, String key) {
        String text = table.getString(key, ANY, HostPort.FORM);
        return HostPort.parse(text).orElseGet(() -> {
            if (!text.isEmpty()) {
                table.addProblem(key, '"' + text + '"', HostPort.FORM, "write the IP address in place of a name");
            }
            return new HostPort("", 0);
        });
    }
}
