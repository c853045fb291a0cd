/**
 * Idempotency keys: which node run may execute the request of a key, and the response to it.
 */
package org.magnoliavane.idempotency;
