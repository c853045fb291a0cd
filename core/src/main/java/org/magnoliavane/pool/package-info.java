/**
 * Schedules model requests on the prefill and decode workers of one pool.
 *
 * <p>The KV cache memory of a decode worker is allocated in pieces of a fixed number of tokens.
 */
package org.magnoliavane.pool;
