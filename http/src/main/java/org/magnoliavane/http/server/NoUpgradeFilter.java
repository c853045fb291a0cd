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
 * Ignores requests to upgrade the protocol. Clients that support HTTP/2 may offer an upgrade with their first request.
 * Without this filter Grizzly then ignores the length of the request body, sends the response without content headers,
 * and closes the connection afterwards without announcing it.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoUpgradeFilter extends BaseFilter {

    /**
     * Adds the filter after the HTTP codec of a listener.
     *
     * @param listener the listener, which must not have been started
     */
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
