/**
 * Connections to the other nodes, and the requests and heartbeats that are sent on them.
 */
package org.magnoliavane.node.peer;
