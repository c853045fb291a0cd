/**
 * Idempotency keys: who may run a key, and what was answered to it.
 */
package org.magnoliavane.idempotency;
