package org.magnoliavane.node.settings;

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
 * Holds the settings of a node, which are read once at its start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the node, which equals the id of its VM in the VM list
 * @param zone the availability zone
 * @param cluster the name of the cluster; connections from nodes of other clusters are rejected
 * @param host the IP address on which the node listens and at which callers and other nodes reach it
 * @param callerPort the TCP port for callers
 * @param peerPort the TCP port for other nodes
 * @param operatorPort the TCP port for operators
 * @param log the endpoint of the log service
 * @param vmList the endpoint of the VM list
 * @param logRetentionMillis the time for which the log service keeps a record, in milliseconds
 * @param vmListPollMillis the delay between two reads of the VM list, in milliseconds
 * @param logLevel the minimum level that is logged
 * @param logFormat the format of log output
 */
public record NodeSettings(
        String id,
        String zone,
        String cluster,
        String host,
        int callerPort,
        int peerPort,
        int operatorPort,
        HttpEndpoint log,
        HttpEndpoint vmList,
        long logRetentionMillis,
        long vmListPollMillis,
        Level logLevel,
        LogFormat logFormat) {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,62}");
    private static final String NAME_FORMAT = "1 to 63 letters, digits, - or _, not - or _ first";
    private static final Pattern ANY = Pattern.compile(".*", Pattern.DOTALL);
    private static final List<String> LEVELS = List.of("error", "warning", "info", "debug", "trace");
    private static final int MAX_PORT = 65_535;
    private static final long MIN_RETENTION_MILLIS = 1000;
    private static final long MAX_RETENTION_MILLIS = 31_622_400_000L;
    private static final long DEFAULT_RETENTION_MILLIS = 604_800_000;

    /**
     * Reads and validates a settings file.
     *
     * @param file the file
     * @return the settings, or all problems that were found
     */
    public static Either<List<TextProblem>, NodeSettings> read(Path file) {
        return SettingsFile.read(file, NodeSettings::read);
    }

    /**
     * Parses and validates the text of a settings file.
     *
     * @param text the TOML text
     * @return the settings, or all problems that were found
     */
    public static Either<List<TextProblem>, NodeSettings> parse(String text) {
        return SettingsFile.parse(text, NodeSettings::read);
    }

    private static NodeSettings read(TomlTable root) {
        TomlTable node = root.getTable("node");
        TomlTable listen = root.getTable("listen");
        TomlTable platform = root.getTable("platform");
        TomlTable logging = root.getTable("logging");
        NodeSettings settings = new NodeSettings(
                node.getString("id", NAME, NAME_FORMAT),
                node.getString("zone", NAME, NAME_FORMAT),
                node.getString("cluster", NAME, NAME_FORMAT, "magnoliavane"),
                readHost(listen),
                (int) listen.getLong("caller_port", 1, MAX_PORT),
                (int) listen.getLong("peer_port", 1, MAX_PORT),
                (int) listen.getLong("operator_port", 1, MAX_PORT),
                readEndpoint(platform, "log"),
                readEndpoint(platform, "vm_list"),
                platform.getLong(
                        "log_retention_millis", MIN_RETENTION_MILLIS, MAX_RETENTION_MILLIS, DEFAULT_RETENTION_MILLIS),
                platform.getLong("vm_list_poll_millis", 50, 60_000, 500),
                toLevel(logging.getOneOf("level", LEVELS, "info")),
                logging.getOneOf("format", List.of("text", "json"), "text").equals("json")
                        ? LogFormat.JSON
                        : LogFormat.TEXT);
        checkPorts(listen, settings);
        List.of(node, listen, platform, logging, root).forEach(TomlTable::rejectUnknown);
        return settings;
    }

    private static String readHost(TomlTable listen) {
        String host = listen.getString("host", ANY, "IP address by which others reach this node");
        if (!host.isEmpty() && !HttpEndpoint.isAddress(host)) {
            listen.addProblem(
                    "host",
                    '"' + host + '"',
                    "IP address of this node, not a name and not the wildcard",
                    "write the address by which callers and other nodes reach it");
        }
        return host;
    }

    private static HttpEndpoint readEndpoint(TomlTable platform, String key) {
        String url = platform.getString(key, ANY, HttpEndpoint.FORMAT);
        return HttpEndpoint.parse(url).orElseGet(() -> {
            if (!url.isEmpty()) {
                platform.addProblem(
                        key, '"' + url + '"', HttpEndpoint.FORMAT, "write the IP address in place of a name");
            }
            return new HttpEndpoint("", 0);
        });
    }

    private static void checkPorts(TomlTable listen, NodeSettings settings) {
        checkPortsDiffer(listen, "peer_port", settings.peerPort, "caller_port", settings.callerPort);
        checkPortsDiffer(listen, "operator_port", settings.operatorPort, "caller_port", settings.callerPort);
        checkPortsDiffer(listen, "operator_port", settings.operatorPort, "peer_port", settings.peerPort);
    }

    private static void checkPortsDiffer(TomlTable listen, String key, int port, String other, int otherPort) {
        if (port == otherPort && listen.has(key) && listen.has(other)) {
            listen.addProblem(key, String.valueOf(port), "a port other than " + other, "choose another port");
        }
    }

    private static Level toLevel(String name) {
        return name.isEmpty() ? Level.INFO : Level.valueOf(name.toUpperCase(Locale.ROOT));
    }
}
