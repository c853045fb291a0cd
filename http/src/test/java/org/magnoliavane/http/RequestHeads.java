package org.magnoliavane.http;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/** Reads heads of requests for servers that write their responses byte by byte. */
final class RequestHeads {
    private RequestHeads() {}

    /** Reads up to the empty line after the head. */
    static void read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the request ended within its head");
            }
            head.append((char) next);
        }
    }
}
