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
 * Settings of a router process. Unknown keys are ignored, since the platform that generates the file may add keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of this node
 * @param zone the availability zone of this node
 * @param firstStart whether the whole system starts for the first time, so that no earlier run of this node can have used
 *     its shares of what all nodes share; false if unknown
 * @param callers the address at which callers are served
 * @param readiness the address of the readiness endpoint
 * @param directory the address at which callers look up the addresses of nodes
 * @param peerPort the UDP port for datagrams between nodes
 * @param metricsPort the TCP port of the metrics endpoint
 * @param store the address of the store
 * @param addressLifetimeSeconds the time in seconds for which callers may cache the addresses of nodes
 * @param retryRatio the number of additional attempts at a service allowed per request
 * @param retryAllowance the number of further attempts allowed in a window, over all nodes
 * @param retryWindowMillis the window of the retry ratio and allowance in milliseconds
 * @param stopGraceMillis the time in milliseconds from the request to stop to the end of the process
 * @param drainMillis the time in milliseconds after which a worker listed as draining must get no new requests
 * @param configurationMillis the time in milliseconds after its publication from which a configuration must be in force
 * @param contactMillis the time in milliseconds after a disruption of the connections from which all bounds hold again
 * @param listingGraceMillis the time in milliseconds after an outage of the store within which an expired listing may
 *     be renewed
 * @param listingRenewalMillis the interval in milliseconds at which each worker renews its listing
 * @param orderLeaseMillis the time in milliseconds within which two nodes must not both send orders to workers; 0 to
 *     send none
 * @param logLevel the lowest level that is logged
 */
public record RouterSettings(
        String name,
        String zone,
        boolean firstStart,
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
        long configurationMillis,
        long contactMillis,
        long listingGraceMillis,
        long listingRenewalMillis,
        long orderLeaseMillis,
        Level logLevel) {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");
    private static final String NAME_SYNTAX = "1 to 128 letters, digits, ., - or _, not ., - or _ first";
    private static final Pattern ANY_TEXT = Pattern.compile("(?s).*");
    private static final List<String> LEVELS = List.of("error", "warning", "info", "debug");
    private static final int MAX_PORT = 65_535;
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Reads the settings file.
     *
     * @param file the file
     * @return the settings, or all problems found
     */
    public static Either<List<TextProblem>, RouterSettings> read(Path file) {
        return SettingsFile.read(file, RouterSettings::read);
    }

    /**
     * Parses the settings.
     *
     * @param text the settings in TOML
     * @return the settings, or all problems found
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
                node.getString("name", NAME, NAME_SYNTAX),
                node.getString("zone", NAME, NAME_SYNTAX),
                node.getBoolean("first_start", false),
                readAddress(listen, "callers"),
                readAddress(listen, "readiness"),
                readAddress(listen, "directory"),
                (int) listen.getLong("peer_port", 1, MAX_PORT),
                (int) listen.getLong("metrics_port", 1, MAX_PORT),
                readAddress(root.getTable("store"), "address"),
                timing.getDouble("address_lifetime_seconds", 0.5, 600),
                retries.getDouble("ratio", 0, 10),
                retries.getDouble("allowance", 0, 1_000_000),
                (long) (MILLIS_PER_SECOND * retries.getDouble("window_seconds", 0.1, 3600)),
                (long) (MILLIS_PER_SECOND * timing.getDouble("stop_grace_seconds", 0.5, 3600)),
                timing.getLong("drain_millis", 100, 3_600_000),
                timing.getLong("configuration_millis", 100, 3_600_000),
                timing.getLong("contact_millis", 100, 3_600_000),
                (long) (MILLIS_PER_SECOND * timing.getDouble("lapse_grace_seconds", 0, 3600)),
                timing.getLong("listing_renewal_millis", 1, 3_600_000),
                timing.getLong("order_lease_millis", 0, 3_600_000, 0),
                Level.valueOf(logging.getOneOf("level", LEVELS, "info").toUpperCase(Locale.ROOT)));
    }

    private static HostPort readAddress(TomlTable table, String key) {
        String text = table.getString(key, ANY_TEXT, HostPort.SYNTAX);
        return HostPort.parse(text).orElseGet(() -> {
            if (!text.isEmpty()) {
                table.addProblem(key, '"' + text + '"', HostPort.SYNTAX, "use an IP address, not a host name");
            }
            return new HostPort("", 0);
        });
    }
}
