package org.magnoliavane.router.dispatch;

/**
 * Identifies the KV cache of a finished prefill. A decode worker can fetch the cache only once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address of the prefill worker
 * @param port the TCP port of the prefill worker
 * @param id the id of the cache at the prefill worker
 */
public record CacheHandle(String host, int port, String id) {}
