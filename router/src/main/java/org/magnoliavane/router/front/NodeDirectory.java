package org.magnoliavane.router.front;

import java.util.List;

/** Lists the addresses that callers may use. */
@FunctionalInterface
public interface NodeDirectory {

    /**
     * Gets the addresses of the nodes that serve callers, as IP address and port, this node's included when it is ready.
     *
     * @return the addresses
     */
    List<String> getCallerAddresses();
}
