/**
 * Settings of one node, and its logging.
 */
package org.magnoliavane.node.settings;
