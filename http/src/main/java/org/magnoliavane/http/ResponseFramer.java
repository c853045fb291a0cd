package org.magnoliavane.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.glassfish.grizzly.http.HttpCodecFilter;

/**
 * Checks the bytes of a response against the grammar of RFC 9112 as they arrive, and formats them anew with one way to state
 * the end of the body, so that a more lenient parser behind it finds the same end: repeated lengths become one, continuation
 * lines are joined, and chunk extensions and trailers are left out.
 *
 * <p>Not thread-safe.
 */
final class ResponseFramer {
    /** Limit in bytes of a head and of a trailer section, that of the parser behind. */
    private static final int MAX_SECTION_BYTES = HttpCodecFilter.DEFAULT_MAX_HTTP_PACKET_HEADER_SIZE;

    /** Limit in bytes of the line before a chunk, whose extensions are not used. */
    private static final int MAX_CHUNK_LINE_BYTES = 256;

    private static final String TOKEN = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
    private static final String QUOTED = "\"[^\"\\\\]*+(?:\\\\.[^\"\\\\]*+)*+\"";
    private static final Pattern CHUNK_LINE = Pattern.compile(
            "0*([0-9A-Fa-f]{1,15})(?:[ \t]*;[ \t]*" + TOKEN + "(?:[ \t]*=[ \t]*(?:" + TOKEN + "|" + QUOTED + "))?)*",
            Pattern.DOTALL);

    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] RESPONSE_START = "HTTP/".getBytes(StandardCharsets.ISO_8859_1);

    /** Reads one part of the response, or what has been received of it. */
    private interface Step {
        void read(ByteBuffer bytes) throws MalformedResponseException;
    }

    private final boolean headRequest;
    private final LineReader lineReader = new LineReader();
    private final List<String> lines = new ArrayList<>();
    private final ByteArrayOutputStream checked = new ByteArrayOutputStream();
    private Step step = this::readHead;

    /** Number of bytes that are missing from the body or from the current chunk. */
    private long missing;

    /** Number of bytes that have been received of those that must follow. */
    private int matched;

    private ResponseFramer(boolean headRequest) {
        this.headRequest = headRequest;
    }

    /**
     * Creates a framer for the response to a request.
     *
     * @param method the method of the request, as the response to HEAD has no body
     * @return the framer
     */
    static ResponseFramer forMethod(String method) {
        return new ResponseFramer(method.equals("HEAD"));
    }

    /**
     * Checks received bytes. After an exception, all further bytes are dropped.
     *
     * @param bytes the bytes
     * @return the bytes to pass on; empty if none can be passed on before more are received
     * @throws MalformedResponseException if they break a rule of the grammar; none of them may be passed on then
     */
    byte[] check(ByteBuffer bytes) throws MalformedResponseException {
        checked.reset();
        try {
            while (bytes.hasRemaining()) {
                step.read(bytes);
            }
        } catch (MalformedResponseException e) {
            step = ResponseFramer::drop;
            throw e;
        }
        return checked.toByteArray();
    }

    private void readHead(ByteBuffer bytes) throws MalformedResponseException {
        if (!readSection(bytes)) {
            return;
        }
        ResponseHead head = ResponseHead.parse(lines);
        lines.clear();
        checked.writeBytes(head.toBytes());
        if (!head.isInterim()) {
            step = chooseBodyStep(head);
        }
    }

    private Step chooseBodyStep(ResponseHead head) {
        if (headRequest || !head.mayHaveBody()) {
            return this::checkSurplus;
        }
        if (head.isChunked()) {
            return this::readChunkLine;
        }
        if (head.getLength().isEmpty()) {
            return this::copyToClose;
        }
        missing = head.getLength().getAsLong();
        return missing == 0 ? this::checkSurplus : this::copyBody;
    }

    private void copyToClose(ByteBuffer bytes) {
        copy(bytes, bytes.remaining());
    }

    private void copyBody(ByteBuffer bytes) {
        if (copyMissing(bytes)) {
            step = this::checkSurplus;
        }
    }

    private void readChunkLine(ByteBuffer bytes) throws MalformedResponseException {
        Optional<String> line = lineReader.read(bytes, MAX_CHUNK_LINE_BYTES);
        if (line.isEmpty()) {
            return;
        }
        lineReader.startSection();
        Matcher matcher = CHUNK_LINE.matcher(line.get());
        if (!matcher.matches()) {
            throw new MalformedResponseException("size or extension of a chunk");
        }
        missing = Long.parseLong(matcher.group(1), 16);
        if (missing == 0) {
            step = this::readTrailers;
            return;
        }
        checked.writeBytes(Long.toHexString(missing).getBytes(StandardCharsets.ISO_8859_1));
        checked.writeBytes(LINE_END);
        step = this::copyChunk;
    }

    private void copyChunk(ByteBuffer bytes) {
        if (copyMissing(bytes)) {
            step = this::readChunkEnd;
        }
    }

    private void readChunkEnd(ByteBuffer bytes) throws MalformedResponseException {
        if (match(bytes, LINE_END, "end of a chunk")) {
            checked.writeBytes(LINE_END);
            step = this::readChunkLine;
        }
    }

    private void readTrailers(ByteBuffer bytes) throws MalformedResponseException {
        if (readSection(bytes)) {
            ResponseHead.checkTrailers(lines);
            checked.writeBytes(LAST_CHUNK);
            step = this::checkSurplus;
        }
    }

    /**
     * Checks what follows a complete response. A faulty server may send another response, which answers no request; other bytes
     * show that the stated end of the body is not its end.
     */
    private void checkSurplus(ByteBuffer bytes) throws MalformedResponseException {
        if (match(bytes, RESPONSE_START, "bytes after the end of the body")) {
            step = ResponseFramer::drop;
        }
    }

    /** Compares received bytes with those that must follow, and returns whether all of these have been received. */
    private boolean match(ByteBuffer bytes, byte[] expected, String rule) throws MalformedResponseException {
        while (bytes.hasRemaining() && matched < expected.length) {
            if (bytes.get() != expected[matched]) {
                throw new MalformedResponseException(rule);
            }
            matched++;
        }
        if (matched < expected.length) {
            return false;
        }
        matched = 0;
        return true;
    }

    private static void drop(ByteBuffer bytes) {
        bytes.position(bytes.limit());
    }

    /** Reads lines up to an empty one, and returns whether it has been received. */
    private boolean readSection(ByteBuffer bytes) throws MalformedResponseException {
        Optional<String> line = lineReader.read(bytes, MAX_SECTION_BYTES);
        if (line.isEmpty()) {
            return false;
        }
        if (!line.get().isEmpty()) {
            lines.add(line.get());
            return false;
        }
        lineReader.startSection();
        return true;
    }

    /** Copies what is missing, and returns whether all of it has been received. */
    private boolean copyMissing(ByteBuffer bytes) {
        int length = (int) Math.min(missing, bytes.remaining());
        copy(bytes, length);
        missing -= length;
        return missing == 0;
    }

    private void copy(ByteBuffer bytes, int length) {
        byte[] copied = new byte[length];
        bytes.get(copied);
        checked.writeBytes(copied);
    }
}
