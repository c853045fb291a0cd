/**
 * Placement of model requests on the workers of a pool by the coordinator of the pool.
 */
package org.magnoliavane.node.placement;
