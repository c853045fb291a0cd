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
 * Reads the keys of one table of a TOML text and collects every fault instead of stopping at the first. A getter whose
 * key is wrong adds a problem and returns a value that the caller must not use.
 *
 * <p>Not thread-safe.
 */
public final class TomlTable {
    // Texts need four levels. The library parses with recursion, and 1000 levels, its own bound, overflow small stacks.
    private static final int MAX_DEPTH = 16;
    private static final TomlMapper MAPPER = new TomlMapper(TomlFactory.builder()
            .streamReadConstraints(
                    StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
            .build());
    private static final int MAX_SHOWN = 60;

    private final String path;
    private final ObjectNode node;
    private final List<TextProblem> problems;
    private final Set<String> known = new LinkedHashSet<>();

    private TomlTable(String path, ObjectNode node, List<TextProblem> problems) {
        this.path = path;
        this.node = node;
        this.problems = problems;
    }

    /**
     * Parses a text. A syntax error is added to the problems, and the table is empty then.
     *
     * @param text the text
     * @param problems receives the problems of this table and of those inside
     * @return the outermost table
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
                    toWhere(e.getLocation()), e.getOriginalMessage(), "TOML 1.0", "correct the syntax there"));
        }
        return MAPPER.createObjectNode();
    }

    private static String toWhere(JsonLocation location) {
        if (location == null || location.getLineNr() < 1) {
            return "text";
        }
        return "line " + location.getLineNr() + ", column " + location.getColumnNr();
    }

    /**
     * Says whether the table has a key.
     *
     * @param key the key
     * @return true when it is present
     */
    public boolean has(String key) {
        return node.has(key);
    }

    /**
     * Gets the path of a key from the outermost table.
     *
     * @param key the key
     * @return the path, with dots
     */
    public String toPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /**
     * Gets a whole number that must be present.
     *
     * @param key the key
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @return the value
     */
    public long getLong(String key, long min, long max) {
        JsonNode value = require(key, "whole number from " + min + " to " + max);
        return value == null ? min : toLong(key, value, min, max);
    }

    /**
     * Gets a whole number that may be absent.
     *
     * @param key the key
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @param absent the value to take when the key is absent
     * @return the value
     */
    public long getLong(String key, long min, long max, long absent) {
        JsonNode value = find(key);
        return value == null ? absent : toLong(key, value, min, max);
    }

    private long toLong(String key, JsonNode value, long min, long max) {
        if (value.isIntegralNumber() && value.canConvertToLong()) {
            long number = value.longValue();
            if (number >= min && number <= max) {
                return number;
            }
        }
        addProblem(key, show(value), "whole number from " + min + " to " + max, "correct the value");
        return min;
    }

    /**
     * Gets a number that may have a fraction.
     *
     * @param key the key
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @return the value
     */
    public double getDouble(String key, double min, double max) {
        JsonNode value = require(key, "number from " + min + " to " + max);
        return value == null ? min : toDouble(key, value, min, max);
    }

    /**
     * Gets a number that may have a fraction and may be absent.
     *
     * @param key the key
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @param absent the value to take when the key is absent
     * @return the value
     */
    public double getDouble(String key, double min, double max, double absent) {
        JsonNode value = find(key);
        return value == null ? absent : toDouble(key, value, min, max);
    }

    private double toDouble(String key, JsonNode value, double min, double max) {
        // A comparison with NaN is false, so NaN ends up as a problem.
        if (value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max) {
            return value.doubleValue();
        }
        addProblem(key, show(value), "number from " + min + " to " + max, "correct the value");
        return min;
    }

    /**
     * Gets true or false.
     *
     * @param key the key
     * @param absent the value to take when the key is absent
     * @return the value
     */
    public boolean getBoolean(String key, boolean absent) {
        JsonNode value = find(key);
        if (value == null) {
            return absent;
        }
        if (!value.isBoolean()) {
            addProblem(key, show(value), "true or false", "write it without quotes");
        }
        return value.booleanValue();
    }

    /**
     * Gets a text that must be present.
     *
     * @param key the key
     * @param pattern the pattern that the whole text must match
     * @param allowed the allowed form in words
     * @return the text; empty when it is wrong
     */
    public String getString(String key, Pattern pattern, String allowed) {
        JsonNode value = require(key, allowed);
        return value == null ? "" : toText(toPath(key), value, pattern, allowed);
    }

    /**
     * Gets a text that may be absent.
     *
     * @param key the key
     * @param pattern the pattern that the whole text must match
     * @param allowed the allowed form in words
     * @param absent the text to take when the key is absent
     * @return the text; empty when it is wrong
     */
    public String getString(String key, Pattern pattern, String allowed, String absent) {
        JsonNode value = find(key);
        return value == null ? absent : toText(toPath(key), value, pattern, allowed);
    }

    /**
     * Gets one of several words.
     *
     * @param key the key
     * @param words the allowed words
     * @return the word; empty when it is wrong
     */
    public String getOneOf(String key, List<String> words) {
        JsonNode value = require(key, "one of " + String.join(", ", words));
        return value == null ? "" : toWord(key, value, words);
    }

    /**
     * Gets one of several words, which may be absent.
     *
     * @param key the key
     * @param words the allowed words
     * @param absent the word to take when the key is absent
     * @return the word; empty when it is wrong
     */
    public String getOneOf(String key, List<String> words, String absent) {
        JsonNode value = find(key);
        return value == null ? absent : toWord(key, value, words);
    }

    private String toWord(String key, JsonNode value, List<String> words) {
        if (value.isTextual() && words.contains(value.textValue())) {
            return value.textValue();
        }
        String remedy = NearestName.find(value.asText(), words)
                .map(near -> "write \"" + near + "\"?")
                .orElse("write one of the allowed words in quotes");
        addProblem(key, show(value), "one of " + String.join(", ", words), remedy);
        return "";
    }

    /**
     * Gets a list of different texts; an absent key is an empty list.
     *
     * @param key the key
     * @param pattern the pattern that each text must match
     * @param allowed the allowed form of each text in words
     * @return the texts that are right, in their order
     */
    public List<String> getTexts(String key, Pattern pattern, String allowed) {
        JsonNode value = find(key);
        if (value == null) {
            return List.of();
        }
        if (!value.isArray()) {
            addProblem(key, show(value), "list of texts, each: " + allowed, "write it as [\"…\"]");
            return List.of();
        }
        Set<String> texts = new LinkedHashSet<>();
        for (int i = 0; i < value.size(); i++) {
            String where = toPath(key) + "[" + i + "]";
            String text = toText(where, value.get(i), pattern, allowed);
            if (!text.isEmpty() && !texts.add(text)) {
                problems.add(new TextProblem(where, show(value.get(i)), "each text once", "remove the repetition"));
            }
        }
        return List.copyOf(texts);
    }

    private String toText(String where, JsonNode value, Pattern pattern, String allowed) {
        if (value.isTextual() && pattern.matcher(value.textValue()).matches()) {
            return value.textValue();
        }
        problems.add(new TextProblem(where, show(value), allowed, "correct the value"));
        return "";
    }

    /**
     * Gets a table inside this one; an absent table is empty.
     *
     * @param key the key
     * @return the table
     */
    public TomlTable getTable(String key) {
        JsonNode value = find(key);
        if (value instanceof ObjectNode object) {
            return new TomlTable(toPath(key), object, problems);
        }
        if (value != null) {
            addProblem(key, show(value), "a table", "write it as [" + toPath(key) + "]");
        }
        return new TomlTable(toPath(key), MAPPER.createObjectNode(), problems);
    }

    /**
     * Gets the tables inside a table by their names, such as each {@code [services.X]}.
     *
     * @param key the key of the table around them
     * @param pattern the pattern that each name must match
     * @param allowed the allowed form of the names in words
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
     * Gets a list of tables, written as {@code [[key]]}; an absent key is an empty list.
     *
     * @param key the key
     * @return the tables, in their order
     */
    public List<TomlTable> getTables(String key) {
        JsonNode value = find(key);
        List<TomlTable> tables = new ArrayList<>();
        if (value == null) {
            return tables;
        }
        if (!value.isArray()) {
            addProblem(key, show(value), "a list of tables", "write each as [[" + toPath(key) + "]]");
            return tables;
        }
        for (int i = 0; i < value.size(); i++) {
            String where = key + "[" + i + "]";
            if (value.get(i) instanceof ObjectNode object) {
                tables.add(new TomlTable(toPath(where), object, problems));
            } else {
                addProblem(where, show(value.get(i)), "a table", "write it as [[" + toPath(key) + "]]");
            }
        }
        return tables;
    }

    /**
     * Adds a problem of a key of this table.
     *
     * @param key the key
     * @param value what was found
     * @param allowed the allowed range
     * @param remedy what the operator can do
     */
    public void addProblem(String key, String value, String allowed, String remedy) {
        problems.add(new TextProblem(toPath(key), value, allowed, remedy));
    }

    /**
     * Adds a problem for each key that no getter asked for. Call it after the last getter.
     */
    public void rejectUnknown() {
        node.fieldNames().forEachRemaining(name -> {
            if (known.contains(name)) {
                return;
            }
            String remedy = NearestName.find(name, known)
                    .map(near -> "write " + near + "?")
                    .orElse("remove it");
            addProblem(name, "unknown key", String.join(", ", known), remedy);
        });
    }

    private JsonNode find(String key) {
        known.add(key);
        return node.get(key);
    }

    private JsonNode require(String key, String allowed) {
        JsonNode value = find(key);
        if (value == null) {
            addProblem(key, "missing", allowed, "add the key");
        }
        return value;
    }

    private static String show(JsonNode value) {
        return shorten(value.toString());
    }

    private static String shorten(String text) {
        return text.length() <= MAX_SHOWN ? text : text.substring(0, MAX_SHOWN) + "…";
    }
}
