/**
 * Placement of model requests on the prefill and decode workers of one pool.
 */
package org.magnoliavane.pool;
