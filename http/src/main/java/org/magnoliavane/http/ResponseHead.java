package org.magnoliavane.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The head of a response, read by the grammar of RFC 9110, section 5, and RFC 9112, sections 4 to 6. Where recipients could
 * disagree about the end of the response, the head is refused.
 *
 * <p>Immutable and thread-safe.
 */
final class ResponseHead {
    /** The space after the status may be missing if there is no reason, as many servers leave it out. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("(HTTP/1\\.[01]) ([1-5][0-9]{2})(?: .*)?", Pattern.DOTALL);

    private static final Pattern NAME = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern LENGTH = Pattern.compile("0*([0-9]{1,18})");
    private static final String LENGTH_NAME = "Content-Length";
    private static final String CODING_NAME = "Transfer-Encoding";
    private static final String CHUNKED = "chunked";
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** A header or trailer. */
    private record Field(String name, String value) {}

    private final String statusLine;
    private final int status;
    private final List<Field> fields;
    private final OptionalLong length;
    private final boolean chunked;

    private ResponseHead(String statusLine, int status, List<Field> fields, OptionalLong length, boolean chunked) {
        this.statusLine = statusLine;
        this.status = status;
        this.fields = fields;
        this.length = length;
        this.chunked = chunked;
    }

    /**
     * Parses a head.
     *
     * @param lines the status line and the lines of the headers
     * @return the head
     * @throws MalformedResponseException if it breaks a rule of the grammar
     */
    static ResponseHead parse(List<String> lines) throws MalformedResponseException {
        Matcher statusLine = STATUS_LINE.matcher(lines.isEmpty() ? "" : lines.get(0));
        if (!statusLine.matches()) {
            throw new MalformedResponseException("status line");
        }
        int status = Integer.parseInt(statusLine.group(2));
        List<Field> fields = parseFields(lines.subList(1, lines.size()));
        OptionalLong length = parseLength(fields);
        boolean chunked = parseChunked(fields);
        if (chunked && (length.isPresent() || statusLine.group(1).equals("HTTP/1.0"))) {
            throw new MalformedResponseException("chunks beside a length or in HTTP/1.0");
        }
        boolean empty = status < FIRST_FINAL_STATUS || status == NO_CONTENT;
        if (empty && (chunked || length.orElse(0) > 0)) {
            throw new MalformedResponseException("body announced beside status " + status);
        }
        return new ResponseHead(statusLine.group(), status, fields, length, chunked);
    }

    /**
     * Checks the lines of a trailer section.
     *
     * @param lines the lines
     * @throws MalformedResponseException if they are no fields
     */
    static void checkTrailers(List<String> lines) throws MalformedResponseException {
        parseFields(lines);
    }

    private static List<Field> parseFields(List<String> lines) throws MalformedResponseException {
        List<Field> fields = new ArrayList<>();
        for (String line : lines) {
            if (line.startsWith(" ") || line.startsWith("\t")) {
                unfold(fields, line);
                continue;
            }
            int colon = line.indexOf(':');
            if (colon < 0) {
                throw new MalformedResponseException("line without a colon");
            }
            String name = line.substring(0, colon);
            if (!NAME.matcher(name).matches()) {
                throw new MalformedResponseException("name of a field");
            }
            fields.add(new Field(name, line.substring(colon + 1).trim()));
        }
        return fields;
    }

    /**
     * Appends a continuation line to the value before it. A blank line is refused, which other recipients may take for the end of
     * the head, and a line that has the form of a field, which most likely is one.
     */
    private static void unfold(List<Field> fields, String line) throws MalformedResponseException {
        String continuation = line.trim();
        int colon = continuation.indexOf(':');
        boolean named = colon >= 0
                && NAME.matcher(continuation.substring(0, colon).trim()).matches();
        if (fields.isEmpty() || continuation.isEmpty() || named) {
            throw new MalformedResponseException("continuation line");
        }
        int last = fields.size() - 1;
        Field folded = fields.get(last);
        fields.set(last, new Field(folded.name, (folded.value + " " + continuation).trim()));
    }

    /** Parses the length, which may be stated repeatedly if it is always the same. */
    private static OptionalLong parseLength(List<Field> fields) throws MalformedResponseException {
        OptionalLong length = OptionalLong.empty();
        for (String stated : getElements(fields, LENGTH_NAME)) {
            Matcher digits = LENGTH.matcher(stated);
            if (!digits.matches()) {
                throw new MalformedResponseException("length of the body");
            }
            long value = Long.parseLong(digits.group(1));
            if (length.orElse(value) != value) {
                throw new MalformedResponseException("different lengths of the body");
            }
            length = OptionalLong.of(value);
        }
        return length;
    }

    private static boolean parseChunked(List<Field> fields) throws MalformedResponseException {
        List<String> codings = getElements(fields, CODING_NAME);
        if (codings.isEmpty()) {
            return false;
        }
        if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase(CHUNKED)) {
            throw new MalformedResponseException("transfer coding other than chunked");
        }
        return true;
    }

    /** Gets the elements of the comma-separated values of all fields with a name, also empty ones. */
    private static List<String> getElements(List<Field> fields, String name) {
        List<String> elements = new ArrayList<>();
        for (Field field : fields) {
            if (!field.name.equalsIgnoreCase(name)) {
                continue;
            }
            for (String element : field.value.split(",", -1)) {
                elements.add(element.trim());
            }
        }
        return elements;
    }

    boolean isInterim() {
        return status < FIRST_FINAL_STATUS;
    }

    /** Returns whether a response that answers any request but HEAD has a body, which may be empty. */
    boolean mayHaveBody() {
        return status != NO_CONTENT && status != NOT_MODIFIED;
    }

    /** Gets the length of the body in bytes; empty if it is not stated. */
    OptionalLong getLength() {
        return length;
    }

    boolean isChunked() {
        return chunked;
    }

    /** Formats the head with one line for each field and one way to state length and coding. */
    byte[] toBytes() {
        StringBuilder head = new StringBuilder(statusLine).append("\r\n");
        for (Field field : fields) {
            if (!field.name.equalsIgnoreCase(LENGTH_NAME) && !field.name.equalsIgnoreCase(CODING_NAME)) {
                appendField(head, field.name, field.value);
            }
        }
        length.ifPresent(l -> appendField(head, LENGTH_NAME, String.valueOf(l)));
        if (chunked) {
            appendField(head, CODING_NAME, CHUNKED);
        }
        return head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void appendField(StringBuilder head, String name, String value) {
        head.append(name).append(':').append(value).append("\r\n");
    }
}
