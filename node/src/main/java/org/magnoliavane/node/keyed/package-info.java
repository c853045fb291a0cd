/**
 * Calls with idempotency keys, which run at most once.
 */
package org.magnoliavane.node.keyed;
