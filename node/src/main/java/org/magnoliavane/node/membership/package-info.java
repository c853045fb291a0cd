/**
 * View of the nodes and backend servers, derived from the VM list, the peer connections and the configuration.
 */
package org.magnoliavane.node.membership;
