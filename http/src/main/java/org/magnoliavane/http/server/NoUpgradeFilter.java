package org.magnoliavane.http.server;

import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.FilterChainEvent;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpEvents.IncomingHttpUpgradeEvent;
import org.glassfish.grizzly.http.HttpServerFilter;
import org.glassfish.grizzly.http.server.NetworkListener;

/**
 * Declines offers to change the protocol. Otherwise Grizzly ignores the length of the body, sends the response
 * without content headers, and closes the connection after it without saying so. Clients that would also speak HTTP/2
 * make such an offer with their first request.
 */
public final class NoUpgradeFilter extends BaseFilter {

    /** Adds the filter behind the HTTP codec of a listener. */
    public static void addTo(NetworkListener listener) {
        listener.registerAddOn((NetworkListener of, FilterChainBuilder chain) ->
                chain.add(chain.indexOfType(HttpServerFilter.class) + 1, new NoUpgradeFilter()));
    }

    @Override
    public NextAction handleEvent(FilterChainContext context, FilterChainEvent event) {
        if (event instanceof IncomingHttpUpgradeEvent upgrade) {
            upgrade.getHttpHeader().setIgnoreContentModifiers(false);
            upgrade.getHttpHeader().getUpgradeDC().recycle();
        }
        return context.getInvokeAction();
    }
}
