/**
 * Connections between nodes.
 */
package org.magnoliavane.protocol;
