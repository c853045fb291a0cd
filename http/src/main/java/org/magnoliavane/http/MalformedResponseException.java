package org.magnoliavane.http;

import java.io.IOException;

/**
 * Thrown if received bytes are no response in the grammar of HTTP/1.1, so that neither the headers nor the end of the body can be
 * relied on. The message names the rule and contains none of the bytes.
 */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedResponseException(String rule) {
        super("malformed response: " + rule);
    }
}
