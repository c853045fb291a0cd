/**
 * Placement of model requests through the coordinator of their pool.
 */
package org.magnoliavane.node.placement;
