package org.magnoliavane.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

import io.vavr.control.Either;

/**
 * Parses and checks the operators' text. All problems are reported at once. The result depends on the text alone, so
 * that all nodes accept and reject the same texts.
 *
 * <p>Thread-safe.
 */
public final class ConfigurationText {

    /** The largest text in bytes; twice this size still fits a peer frame of 1 MiB. */
    public static final int MAX_BYTES = 512 * 1024;

    /** The allowed form of names of services, classes, callers and partners. */
    static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9_-]{0,62}");

    private static final String NAME_FORM = "1 to 63 letters, digits, - or _, not - or _ first";
    private static final Pattern MODEL_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}");
    private static final String MODEL_NAME_FORM =
            "1 to 128 letters, digits, or one of . _ : / -, a letter or digit first";
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");
    private static final Pattern SERVER_ID = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");
    private static final String SERVER_ID_FORM = "1 to 128 letters, digits, or one of . _ : -";
    private static final Pattern PATH = Pattern.compile("(/[A-Za-z0-9._~!$&'()+,;=:@%-]+)+(/\\*)?");
    private static final List<String> METHODS = List.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE");
    private static final List<String> IDEMPOTENT_METHODS = List.of("GET", "HEAD", "PUT", "DELETE");
    private static final String RESERVED_PATH = "/v1/";
    private static final int MAX_CLASSES = 100;
    private static final int MAX_SERVICES = 200;
    private static final long MAX_MILLIS = 86_400_000;
    private static final int MAX_TOKENS = 16_777_216;

    private ConfigurationText() {}

    /**
     * Parses and checks a text.
     *
     * @param text the text
     * @param version the version that the result gets
     * @return the configuration, or all problems of the text
     */
    public static Either<List<TextProblem>, Configuration> parse(String text, long version) {
        int size = text.getBytes(StandardCharsets.UTF_8).length;
        if (size > MAX_BYTES) {
            return Either.left(List.of(new TextProblem(
                    "text", size + " bytes", "at most " + MAX_BYTES + " bytes", "remove what is not used")));
        }
        List<TextProblem> problems = new ArrayList<>();
        TomlTable root = TomlTable.parse(text, problems);
        if (!problems.isEmpty()) {
            return Either.left(List.copyOf(problems));
        }
        Configuration parsed = read(root, version, problems);
        return problems.isEmpty() ? Either.right(parsed) : Either.left(List.copyOf(problems));
    }

    private static Configuration read(TomlTable root, long version, List<TextProblem> problems) {
        ConfigurationChecks checks = new ConfigurationChecks(problems);
        Limits limits = readLimits(root.getTable("limits"));
        Map<String, PriceClass> classes = readClasses(root, problems, checks);
        String defaultClass = readDefaultClass(root, classes);
        Map<String, Service> services = readServices(root);
        Map<String, Caller> callers = readCallers(root);
        TomlTable drain = root.getTable("drain");
        List<String> nodes = drain.getTexts("nodes", NAME, NAME_FORM);
        List<String> workers = drain.getTexts("workers", SERVER_ID, SERVER_ID_FORM);
        drain.rejectUnknown();
        root.rejectUnknown();
        if (checks.checkCount("services", services.size(), MAX_SERVICES)) {
            checks.checkServices(services);
        }
        checks.checkCallers(callers, services);
        return new Configuration(
                version,
                freeze(services),
                freeze(classes),
                defaultClass,
                freeze(callers),
                limits,
                Collections.unmodifiableSet(new LinkedHashSet<>(nodes)),
                Collections.unmodifiableSet(new LinkedHashSet<>(workers)));
    }

    private static <T> Map<String, T> freeze(Map<String, T> map) {
        return Collections.unmodifiableMap(map);
    }

    private static Limits readLimits(TomlTable table) {
        Limits limits = new Limits(
                (int) table.getLong("max_body_bytes", 1024, 67_108_864, Limits.DEFAULT.maxBodyBytes()),
                (int) table.getLong("max_prompt_tokens", 1, MAX_TOKENS, Limits.DEFAULT.maxPromptTokens()),
                table.getLong("address_lifetime_seconds", 1, 3600, Limits.DEFAULT.addressLifetimeSeconds()),
                table.getLong("resume_window_millis", 0, 60_000, Limits.DEFAULT.resumeWindowMillis()),
                (int) table.getLong("retry_budget_percent", 0, 100, Limits.DEFAULT.retryBudgetPercent()));
        table.rejectUnknown();
        return limits;
    }

    private static Map<String, PriceClass> readClasses(
            TomlTable root, List<TextProblem> problems, ConfigurationChecks checks) {
        Map<String, PriceClass> classes = new LinkedHashMap<>();
        List<PriceClass> sound = new ArrayList<>();
        root.getNamedTables("classes", NAME, NAME_FORM).forEach((name, table) -> {
            int before = problems.size();
            PriceClass priceClass = readClass(name, table);
            classes.put(name, priceClass);
            if (problems.size() == before) {
                sound.add(priceClass);
            }
        });
        if (classes.isEmpty()) {
            root.addProblem("classes", "no class", "at least one class", "add a table [classes.standard]");
        }
        checks.checkCount("classes", classes.size(), MAX_CLASSES);
        checks.checkPrices(sound.subList(0, Math.min(sound.size(), MAX_CLASSES)));
        return classes;
    }

    private static PriceClass readClass(String name, TomlTable table) {
        long price = table.getLong("micros_per_token", 0, 1_000_000_000);
        long ttft = table.getLong("ttft_millis", 1, MAX_MILLIS);
        long tbt = table.getLong("tbt_millis", 1, 60_000, 100);
        long maxWait = table.getLong("max_wait_millis", 0, MAX_MILLIS, ttft);
        table.rejectUnknown();
        return new PriceClass(name, price, ttft, tbt, maxWait);
    }

    private static String readDefaultClass(TomlTable root, Map<String, PriceClass> classes) {
        if (classes.isEmpty()) {
            return root.getOneOf("default_class", List.of(), "");
        }
        List<String> names = List.copyOf(classes.keySet());
        return names.size() == 1
                ? root.getOneOf("default_class", names, names.get(0))
                : root.getOneOf("default_class", names);
    }

    private static Map<String, Service> readServices(TomlTable root) {
        Map<String, Service> services = new LinkedHashMap<>();
        root.getNamedTables("services", NAME, NAME_FORM)
                .forEach((name, table) -> services.put(name, readService(name, table)));
        if (services.isEmpty()) {
            root.addProblem("services", "no service", "at least one service", "add a table such as [services.chat]");
        }
        return services;
    }

    private static Service readService(String name, TomlTable table) {
        String kind = table.getOneOf("kind", List.of("model", "plain"));
        List<String> dependsOn = table.getTexts("depends_on", NAME, NAME_FORM);
        if (kind.equals("model")) {
            boolean checksFencing = table.getBoolean("checks_fencing", false);
            ModelSettings model = readModel(table);
            table.rejectUnknown();
            return new Service(name, ServiceKind.MODEL, dependsOn, checksFencing, Optional.of(model), List.of());
        }
        List<Route> routes = new ArrayList<>();
        if (kind.equals("plain")) {
            table.getTables("routes").forEach(route -> routes.add(readRoute(route)));
            if (routes.isEmpty()) {
                table.addProblem(
                        "routes", "no route", "at least one route", "add a table [[services." + name + ".routes]]");
            }
            table.rejectUnknown();
        }
        return new Service(name, ServiceKind.PLAIN, dependsOn, false, Optional.empty(), List.copyOf(routes));
    }

    private static ModelSettings readModel(TomlTable table) {
        List<String> models = table.getTexts("models", MODEL_NAME, MODEL_NAME_FORM);
        if (models.isEmpty()) {
            table.addProblem("models", "no model", "at least one model name", "name what callers put into \"model\"");
        }
        int pieceTokens = (int) table.getLong("piece_tokens", 1, 65_536, 2048);
        int decodePieces = (int) table.getLong("decode_pieces", 1, 1_000_000);
        int prefillRate = (int) table.getLong("prefill_tokens_per_second", 1, 100_000_000);
        double step = table.getDouble("decode_step_millis", 0.01, 10_000);
        int transferRate = (int) table.getLong("transfer_tokens_per_second", 1, 1_000_000_000);
        long lifetime = table.getLong("prefill_lifetime_millis", 1, 600_000, 800);
        int maxOutput = (int) table.getLong("max_output_tokens", 1, MAX_TOKENS, 4096);
        int expected = (int) table.getLong("expected_output_tokens", 1, MAX_TOKENS, Math.min(256, maxOutput));
        double weight = table.getDouble("wasted_prefill_weight", 0, 1, 0.5);
        if (expected > maxOutput) {
            table.addProblem(
                    "expected_output_tokens",
                    String.valueOf(expected),
                    "at most max_output_tokens, which is " + maxOutput,
                    "lower it or raise max_output_tokens");
        }
        if (table.has("decode_pieces") && maxOutput >= (long) pieceTokens * decodePieces) {
            table.addProblem(
                    "max_output_tokens",
                    String.valueOf(maxOutput),
                    "less than the memory of a decode worker, piece_tokens × decode_pieces = "
                            + (long) pieceTokens * decodePieces,
                    "lower max_output_tokens or correct decode_pieces");
        }
        return new ModelSettings(
                models,
                pieceTokens,
                decodePieces,
                prefillRate,
                step,
                transferRate,
                lifetime,
                expected,
                maxOutput,
                weight);
    }

    private static Route readRoute(TomlTable table) {
        String method = table.getOneOf("method", METHODS);
        String path = table.getString(
                "path", PATH, "path such as /bookings, or such as /rounds/* for every path below /rounds/");
        if (path.startsWith(RESERVED_PATH)) {
            table.addProblem("path", '"' + path + '"', "path outside /v1/", "rename it; /v1/ belongs to the router");
        }
        boolean idempotent = table.getBoolean("idempotent", IDEMPOTENT_METHODS.contains(method));
        long timeout = table.getLong("timeout_millis", 1, 600_000, 5000);
        table.rejectUnknown();
        return new Route(method, path, idempotent, timeout);
    }

    private static Map<String, Caller> readCallers(TomlTable root) {
        Map<String, Caller> callers = new LinkedHashMap<>();
        root.getNamedTables("callers", NAME, NAME_FORM)
                .forEach((name, table) -> callers.put(name, readCaller(name, table)));
        if (callers.isEmpty()) {
            root.addProblem("callers", "no caller", "at least one caller", "add a table such as [callers.office]");
        }
        return callers;
    }

    private static Caller readCaller(String name, TomlTable table) {
        String partner = table.getString("partner", NAME, NAME_FORM, name);
        String key = table.getString(
                "key_sha256", SHA256, "64 lower-case hexadecimal digits, as printed by the command hash-key");
        List<String> services = table.getTexts("services", NAME, NAME_FORM);
        table.rejectUnknown();
        return new Caller(name, partner, key, Collections.unmodifiableSet(new LinkedHashSet<>(services)));
    }
}
