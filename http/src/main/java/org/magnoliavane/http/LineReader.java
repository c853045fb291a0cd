package org.magnoliavane.http;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Reads lines of a head, of chunk sizes and of trailers from bytes that arrive in parts. A line ends with CR and LF. A bare CR or
 * LF is refused, as other recipients may take it for the end of a line, and so are all other control bytes but tabs.
 *
 * <p>Not thread-safe.
 */
final class LineReader {
    private static final int FIRST_PRINTABLE = ' ';
    private static final int DELETE = 0x7f;

    private final StringBuilder line = new StringBuilder();
    private boolean carriageReturn;
    private int sectionBytes;

    /** Starts a section, to which the limit of {@link #read} applies. */
    void startSection() {
        sectionBytes = 0;
    }

    /**
     * Reads the bytes of a line.
     *
     * @param bytes the received bytes, which are read to the end of the line
     * @param maxSectionBytes the largest number of bytes of all lines of a section
     * @return the line without its end, in ISO 8859-1; empty if its end has not been received
     * @throws MalformedResponseException if the bytes are no line
     */
    Optional<String> read(ByteBuffer bytes, int maxSectionBytes) throws MalformedResponseException {
        while (bytes.hasRemaining()) {
            char next = (char) (bytes.get() & 0xff);
            sectionBytes++;
            if (sectionBytes > maxSectionBytes) {
                throw new MalformedResponseException("lines of more than " + maxSectionBytes + " bytes");
            }
            if (carriageReturn != (next == '\n')) {
                throw new MalformedResponseException("line that does not end with CR and LF");
            }
            if (next == '\n') {
                String read = line.toString();
                line.setLength(0);
                carriageReturn = false;
                return Optional.of(read);
            }
            if (next == '\r') {
                carriageReturn = true;
                continue;
            }
            if (next < FIRST_PRINTABLE && next != '\t' || next == DELETE) {
                throw new MalformedResponseException("control byte in a line");
            }
            line.append(next);
        }
        return Optional.empty();
    }
}
