package org.magnoliavane.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ContentEncoding;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * Reads responses, and ends each interim one (status 1xx) with its head, so that the final response is read after it.
 * {@link HttpClientFilter} takes an interim response for the final one, and what follows for its body.
 *
 * <p>Bodies are received as the server wrote them: {@link HttpClientFilter} decodes some encodings, and drops what it cannot
 * decode.
 *
 * <p>Thread-safe.
 */
final class InterimResponseFilter extends HttpClientFilter {
    private static final int CONTINUE = 100;
    private static final int PROCESSING = 102;
    private static final int FIRST_FINAL_STATUS = 200;

    private final Attribute<HttpRequestPacket> requests =
            Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("magnoliavane.interim.request");

    InterimResponseFilter() {
        for (ContentEncoding encoding : getContentEncodings()) {
            removeContentEncoding(encoding);
        }
    }

    /** Returns whether a status is not that of a final response. */
    static boolean isInterim(int status) {
        return status < FIRST_FINAL_STATUS;
    }

    @Override
    protected void onInitialLineParsed(HttpHeader header, FilterChainContext context) {
        super.onInitialLineParsed(header, context);
        HttpResponsePacket response = (HttpResponsePacket) header;
        if (response.getRequest() == null) {
            response.setRequest(requests.get(context.getConnection()));
        }
        if (response.getStatus() == CONTINUE) {
            // For status 100, HttpClientFilter skips two bytes, which may be those of a header or not have arrived.
            response.setStatus(PROCESSING);
        }
    }

    @Override
    protected boolean onHttpHeaderParsed(HttpHeader header, Buffer buffer, FilterChainContext context) {
        boolean malformed = super.onHttpHeaderParsed(header, buffer, context);
        HttpResponsePacket response = (HttpResponsePacket) header;
        if (isInterim(response.getStatus())) {
            // HttpClientFilter gives a request only to its first response.
            requests.set(context.getConnection(), response.getRequest());
            header.setExpectContent(false);
        }
        return malformed;
    }
}
