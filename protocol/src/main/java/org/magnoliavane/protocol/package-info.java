/**
 * Connections between nodes that carry the messages of {@code peer.proto}.
 */
package org.magnoliavane.protocol;
