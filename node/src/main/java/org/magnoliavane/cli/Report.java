package org.magnoliavane.cli;

import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliavane.config.TextProblem;

/**
 * Holds the result of a command, as text and as JSON.
 *
 * @param status the exit status
 * @param text the text, which may have several lines
 * @param json the result as a JSON object, for programs
 */
record Report(int status, String text, ObjectNode json) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().setPropertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE);

    static Report of(int status, String text) {
        return new Report(status, text, MAPPER.createObjectNode().put("message", text));
    }

    static Report failure(int status, String message, String remedy) {
        ObjectNode json = MAPPER.createObjectNode().put("error", message).put("remedy", remedy);
        return new Report(status, message + "\n" + remedy, json);
    }

    static Report problems(String file, List<TextProblem> problems) {
        StringBuilder text = new StringBuilder();
        for (TextProblem problem : problems) {
            text.append(file).append(": ").append(problem).append('\n');
        }
        text.append(problems.size()).append(problems.size() == 1 ? " problem" : " problems");
        Report report = new Report(ExitStatus.USAGE, text.toString(), MAPPER.createObjectNode());
        return report.with("valid", false).with("problems", problems);
    }

    Report with(String key, Object value) {
        ObjectNode copy = json.deepCopy();
        copy.set(key, MAPPER.valueToTree(value));
        return new Report(status, text, copy);
    }

    Report without(String key) {
        ObjectNode copy = json.deepCopy();
        copy.remove(key);
        return new Report(status, text, copy);
    }

    /** Returns whether the report is an error. Results from only a part of the nodes are not an error. */
    boolean isFailure() {
        return json.has("error") || !json.path("valid").asBoolean(true);
    }

    String toText(boolean asJson) {
        return asJson ? json.toPrettyString() : text;
    }
}
