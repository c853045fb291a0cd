package org.magnoliavane.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/**
 * Reads the keys of one table of a TOML text and collects all problems instead of stopping at the first. When the value
 * of a key is invalid, its getter adds a problem and returns a value that the caller must not use.
 *
 * <p>Not thread-safe.
 */
public final class TomlTable {
    // Texts need four levels. The library parses recursively, and its own limit of 1000 levels overflows small stacks.
    private static final int MAX_NESTING_DEPTH = 16;
    private static final TomlMapper MAPPER = new TomlMapper(TomlFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .build())
            .build());
    private static final int MAX_SHOWN_LENGTH = 60;

    private final String path;
    private final ObjectNode node;
    private final List<TextProblem> problems;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    private TomlTable(String path, ObjectNode node, List<TextProblem> problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /**
     * Parses a text. When it has a syntax error, a problem is added and the table is empty.
     *
     * @param text the TOML text
     * @param problems receives the problems of this table and of the tables nested in it
     * @return the root table
     */
    public static TomlTable parse(String text, List<TextProblem> problems) {
        return new TomlTable("", parseNode(text, problems), problems);
    }

    private static ObjectNode parseNode(String text, List<TextProblem> problems) {
        try {
            if (MAPPER.readTree(text) instanceof ObjectNode object) {
                return object;
            }
        } catch (JsonProcessingException e) {
            problems.add(new TextProblem(
                    describeLocation(e.getLocation()), e.getOriginalMessage(), "TOML 1.0", "correct the syntax there"));
        }
        return MAPPER.createObjectNode();
    }

    private static String describeLocation(JsonLocation location) {
        if (location == null || location.getLineNr() < 1) {
            return "text";
        }
        return "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    /**
     * Returns whether the table has a key.
     *
     * @param key the key
     * @return true when it is present
     */
    public boolean has(String key) {
        return node.has(key);
    }

    /**
     * Gets the path of a key from the root table.
     *
     * @param key the key
     * @return the path, separated by dots
     */
    public String toPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Gets a required integer.
     *
     * @param key the key
     * @param min the minimum allowed value
     * @param max the maximum allowed value
     * @return the value
     */
    public long getLong(String key, long min, long max) {
        JsonNode value = require(key, "whole number from " + min + " to " + max);
        return value == null ? min : checkLong(key, value, min, max);
    }

    /**
     * Gets an optional integer.
     *
     * @param key the key
     * @param min the minimum allowed value
     * @param max the maximum allowed value
     * @param defaultValue the default value when the key is absent
     * @return the value
     */
    public long getLong(String key, long min, long max, long defaultValue) {
        JsonNode value = find(key);
        return value == null ? defaultValue : checkLong(key, value, min, max);
    }

    private long checkLong(String key, JsonNode value, long min, long max) {
        if (value.isIntegralNumber() && value.canConvertToLong()) {
            long number = value.longValue();
            if (number >= min && number <= max) {
                return number;
            }
        }
        addProblem(key, toShortText(value), "whole number from " + min + " to " + max, "correct the value");
        return min;
    }

    /**
     * Gets a required floating-point number.
     *
     * @param key the key
     * @param min the minimum allowed value
     * @param max the maximum allowed value
     * @return the value
     */
    public double getDouble(String key, double min, double max) {
        JsonNode value = require(key, "number from " + min + " to " + max);
        return value == null ? min : checkDouble(key, value, min, max);
    }

    /**
     * Gets an optional floating-point number.
     *
     * @param key the key
     * @param min the minimum allowed value
     * @param max the maximum allowed value
     * @param defaultValue the default value when the key is absent
     * @return the value
     */
    public double getDouble(String key, double min, double max, double defaultValue) {
        JsonNode value = find(key);
        return value == null ? defaultValue : checkDouble(key, value, min, max);
    }

    private double checkDouble(String key, JsonNode value, double min, double max) {
        // Every comparison with NaN is false, so NaN is reported as a problem.
        if (value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max) {
            return value.doubleValue();
        }
        addProblem(key, toShortText(value), "number from " + min + " to " + max, "correct the value");
        return min;
    }

    /**
     * Gets an optional boolean.
     *
     * @param key the key
     * @param defaultValue the default value when the key is absent
     * @return the value
     */
    public boolean getBoolean(String key, boolean defaultValue) {
        JsonNode value = find(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            addProblem(key, toShortText(value), "true or false", "write it without quotes");
        }
        return value.booleanValue();
    }

    /**
     * Gets a required string.
     *
     * @param key the key
     * @param pattern the pattern that the whole string must match
     * @param allowed the description of the allowed form
     * @return the string; empty when it is invalid
     */
    public String getString(String key, Pattern pattern, String allowed) {
        JsonNode value = require(key, allowed);
        return value == null ? "" : checkString(toPath(key), value, pattern, allowed);
    }

    /**
     * Gets an optional string.
     *
     * @param key the key
     * @param pattern the pattern that the whole string must match
     * @param allowed the description of the allowed form
     * @param defaultValue the default value when the key is absent
     * @return the string; empty when it is invalid
     */
    public String getString(String key, Pattern pattern, String allowed, String defaultValue) {
        JsonNode value = find(key);
        return value == null ? defaultValue : checkString(toPath(key), value, pattern, allowed);
    }

    /**
     * Gets a required string that must be one of several values.
     *
     * @param key the key
     * @param values the allowed values
     * @return the value; empty when it is invalid
     */
    public String getOneOf(String key, List<String> values) {
        JsonNode value = require(key, "one of " + String.join(", ", values));
        return value == null ? "" : checkOneOf(key, value, values);
    }

    /**
     * Gets an optional string that must be one of several values.
     *
     * @param key the key
     * @param values the allowed values
     * @param defaultValue the default value when the key is absent
     * @return the value; empty when it is invalid
     */
    public String getOneOf(String key, List<String> values, String defaultValue) {
        JsonNode value = find(key);
        return value == null ? defaultValue : checkOneOf(key, value, values);
    }

    private String checkOneOf(String key, JsonNode value, List<String> values) {
        if (value.isTextual() && values.contains(value.textValue())) {
            return value.textValue();
        }
        String remedy = NearestName.find(value.asText(), values)
                .map(near -> "write \"" + near + "\"?")
                .orElse("write one of the allowed values in quotes");
        addProblem(key, toShortText(value), "one of " + String.join(", ", values), remedy);
        return "";
    }

    /**
     * Gets an optional list of distinct strings.
     *
     * @param key the key
     * @param pattern the pattern that each string must match
     * @param allowed the description of the allowed form of each string
     * @return the valid strings, in their order; empty when the key is absent
     */
    public List<String> getStrings(String key, Pattern pattern, String allowed) {
        JsonNode value = find(key);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            addProblem(key, toShortText(value), "list of strings, each: " + allowed, "write it as [\"…\"]");
            return List.of();
        }
        Set<String> strings = new LinkedHashSet<>();
        for (int i = 0; i < value.size(); i++) {
            String where = toPath(key) + "[" + i + "]";
            String string = checkString(where, value.get(i), pattern, allowed);
            if (!string.isEmpty() && !strings.add(string)) {
                problems.add(
                        new TextProblem(where, toShortText(value.get(i)), "each string once", "remove the repetition"));
            }
        }
        return List.copyOf(strings);
    }

    private String checkString(String where, JsonNode value, Pattern pattern, String allowed) {
        if (value.isTextual() && pattern.matcher(value.textValue()).matches()) {
            return value.textValue();
        }
        problems.add(new TextProblem(where, toShortText(value), allowed, "correct the value"));
        return "";
    }

    /**
     * Gets an optional table nested in this one.
     *
     * @param key the key
     * @return the table; empty when the key is absent
     */
    public TomlTable getTable(String key) {
        JsonNode value = find(key);
        if (value instanceof ObjectNode object) {
            return new TomlTable(toPath(key), object, problems);
        }
        if (value != null) {
            addProblem(key, toShortText(value), "a table", "write it as [" + toPath(key) + "]");
        }
        return new TomlTable(toPath(key), MAPPER.createObjectNode(), problems);
    }

    /**
     * Gets the tables nested in a table by their names, such as each {@code [services.X]}.
     *
     * @param key the key of the enclosing table
     * @param pattern the pattern that each name must match
     * @param allowed the description of the allowed form of the names
     * @return the tables by name, in their order
     */
    public Map<String, TomlTable> getNamedTables(String key, Pattern pattern, String allowed) {
        TomlTable outer = getTable(key);
        Map<String, TomlTable> tables = new LinkedHashMap<>();
        outer.node.fieldNames().forEachRemaining(name -> {
            if (!pattern.matcher(name).matches()) {
                outer.addProblem(name, "name \"" + shorten(name) + "\"", allowed, "rename it");
            }
            tables.put(name, outer.getTable(name));
        });
        return tables;
    }

    /**
     * Gets an optional array of tables, written as {@code [[key]]}.
     *
     * @param key the key
     * @return the tables, in their order; empty when the key is absent
     */
    public List<TomlTable> getTables(String key) {
        JsonNode value = find(key);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!value.isArray()) {
            addProblem(key, toShortText(value), "a list of tables", "write each as [[" + toPath(key) + "]]");
            return tables;
        }
        for (int i = 0; i < value.size(); i++) {
            String where = key + "[" + i + "]";
            if (value.get(i) instanceof ObjectNode object) {
                tables.add(new TomlTable(toPath(where), object, problems));
            } else {
                addProblem(where, toShortText(value.get(i)), "a table", "write it as [[" + toPath(key) + "]]");
            }
        }
        return tables;
    }

    /**
     * Adds a problem with a key of this table.
     *
     * @param key the key
     * @param value the value found
     * @param allowed the allowed values
     * @param remedy what the operator can do
     */
    public void addProblem(String key, String value, String allowed, String remedy) {
        problems.add(new TextProblem(toPath(key), value, allowed, remedy));
    }

    /**
     * Adds a problem for each key that no getter has read. It must be called after the last getter.
     */
    public void rejectUnknown() {
        node.fieldNames().forEachRemaining(name -> {
            if (knownKeys.contains(name)) {
                return;
            }
            String remedy = NearestName.find(name, knownKeys)
                    .map(near -> "write " + near + "?")
                    .orElse("remove it");
            addProblem(name, "unknown key", String.join(", ", knownKeys), remedy);
        });
    }

    private JsonNode find(String key) {
        knownKeys.add(key);
        return node.get(key);
    }

    private JsonNode require(String key, String allowed) {
        JsonNode value = find(key);
        if (value == null) {
            addProblem(key, "missing", allowed, "add the key");
        }
        return value;
    }

    private static String toShortText(JsonNode value) {
        return shorten(value.toString());
    }

    private static String shorten(String text) {
        return text.length() <= MAX_SHOWN_LENGTH ? text : text.substring(0, MAX_SHOWN_LENGTH) + "…";
    }
}
