/**
 * Connections to the other nodes, and the requests that travel on them.
 */
package org.magnoliavane.node.peer;
