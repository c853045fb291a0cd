/**
 * Executes requests with idempotency keys at most once.
 */
package org.magnoliavane.node.keyed;
