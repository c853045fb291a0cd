package org.magnoliavane.router.front;

import java.util.List;

/** Lists the addresses at which callers are served. */
@FunctionalInterface
public interface NodeDirectory {

    /**
     * Gets the addresses of the nodes that serve callers, including this node if it is ready.
     *
     * @return the addresses as IP address and port; empty if no node is ready
     */
    List<String> getCallerAddresses();
}
