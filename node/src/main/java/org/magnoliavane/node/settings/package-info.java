/**
 * Settings of a node and setup of its logging.
 */
package org.magnoliavane.node.settings;
