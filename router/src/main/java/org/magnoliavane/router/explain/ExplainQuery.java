package org.magnoliavane.router.explain;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The request that an operator asks about.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the host of the request
 * @param path the path of the request
 * @param organisation the name of the organisation of the caller; empty for an anonymous request
 * @param promptTokens the number of tokens of the prompt
 * @param outputTokens the number of output tokens
 * @param deadlineMillis the time for which the caller waits, in milliseconds; empty for the timeout of the route
 */
record ExplainQuery(
        String host,
        String path,
        Optional<String> organisation,
        int promptTokens,
        int outputTokens,
        OptionalLong deadlineMillis) {
    private static final int MAX_TOKENS = 10_000_000;
    private static final int MAX_DEADLINE_MILLIS = 86_400_000;
    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String ORGANISATION = "organisation";
    private static final String PROMPT_TOKENS = "prompt_tokens";
    private static final String OUTPUT_TOKENS = "output_tokens";
    private static final String DEADLINE_MILLIS = "deadline_millis";
    private static final List<String> FIELDS =
            List.of(HOST, PATH, ORGANISATION, PROMPT_TOKENS, OUTPUT_TOKENS, DEADLINE_MILLIS);
    private static final Pattern HOST_SYNTAX = Pattern.compile("[A-Za-z0-9._-]{1,253}(:[0-9]{1,5})?");

    /** A path without a query, which may contain a key. */
    private static final Pattern PATH_SYNTAX = Pattern.compile("/[\\x21-\\x7e&&[^?#]]{0,4095}");

    private static final Pattern NAME_SYNTAX = Pattern.compile("[^\\p{Cntrl}]{1,200}");
    private static final Pattern NUMBER_SYNTAX = Pattern.compile("[0-9]{1,9}");

    /** Reports a field that is missing or invalid. */
    static final class InvalidQueryException extends Exception {
        private static final long serialVersionUID = 1;

        private final String field;
        private final Optional<String> value;
        private final String allowed;

        InvalidQueryException(String field, Optional<String> value, String allowed) {
            super(field + ": " + value.map(v -> '"' + v + '"').orElse("missing") + "; allowed: " + allowed);
            this.field = field;
            this.value = value;
            this.allowed = allowed;
        }

        String getField() {
            return field;
        }

        Optional<String> findValue() {
            return value;
        }

        String getAllowed() {
            return allowed;
        }
    }

    /**
     * Parses the query of a URL.
     *
     * @param query the encoded query
     * @return the query
     * @throws InvalidQueryException if a field is missing, invalid, unknown or given twice
     */
    static ExplainQuery parse(String query) throws InvalidQueryException {
        Map<String, String> fields = new HashMap<>();
        for (String part : query.split("&")) {
            int equals = part.indexOf('=');
            String name = equals < 0 ? part : part.substring(0, equals);
            if (name.isEmpty()) {
                continue;
            }
            if (!FIELDS.contains(name)) {
                throw new InvalidQueryException("query", Optional.of(name), String.join(", ", FIELDS));
            }
            String value = decode(name, equals < 0 ? "" : part.substring(equals + 1));
            if (fields.put(name, value) != null) {
                throw new InvalidQueryException(name, Optional.of(value), "one value");
            }
        }
        return new ExplainQuery(
                require(fields, HOST, HOST_SYNTAX, "a host name, with or without a port"),
                require(fields, PATH, PATH_SYNTAX, "a path that begins with / and has no spaces and no query"),
                check(fields, ORGANISATION, NAME_SYNTAX, "the name of an organisation, 1 to 200 characters"),
                (int) checkNumber(fields, PROMPT_TOKENS, 0, MAX_TOKENS).orElse(0),
                (int) checkNumber(fields, OUTPUT_TOKENS, 0, MAX_TOKENS).orElse(0),
                checkNumber(fields, DEADLINE_MILLIS, 1, MAX_DEADLINE_MILLIS));
    }

    private static String decode(String name, String value) throws InvalidQueryException {
        try {
            return URLDecoder.decode(value, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new InvalidQueryException(name, Optional.of(value), "a URL-encoded value");
        }
    }

    private static String require(Map<String, String> fields, String name, Pattern syntax, String allowed)
            throws InvalidQueryException {
        Optional<String> value = check(fields, name, syntax, allowed);
        if (value.isEmpty()) {
            throw new InvalidQueryException(name, value, allowed);
        }
        return value.get();
    }

    private static Optional<String> check(Map<String, String> fields, String name, Pattern syntax, String allowed)
            throws InvalidQueryException {
        Optional<String> value = Optional.ofNullable(fields.get(name));
        if (value.isPresent() && !syntax.matcher(value.get()).matches()) {
            throw new InvalidQueryException(name, value, allowed);
        }
        return value;
    }

    private static OptionalLong checkNumber(Map<String, String> fields, String name, long min, long max)
            throws InvalidQueryException {
        String allowed = "a whole number from " + min + " to " + max;
        Optional<String> text = check(fields, name, NUMBER_SYNTAX, allowed);
        if (text.isEmpty()) {
            return OptionalLong.empty();
        }
        long value = Long.parseLong(text.get());
        if (value < min || value > max) {
            throw new InvalidQueryException(name, text, allowed);
        }
        return OptionalLong.of(value);
    }
}
