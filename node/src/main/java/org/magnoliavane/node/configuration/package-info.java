/**
 * Reads the stream of configurations, exchanges versions with peers, and appends snapshots before retention removes
 * the records that a new node needs.
 */
package org.magnoliavane.node.configuration;
