/**
 * Log of routing and placement decisions.
 */
package org.magnoliavane.node.decision;
