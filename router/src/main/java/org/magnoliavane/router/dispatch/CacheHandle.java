package org.magnoliavane.router.dispatch;

/**
 * Names the KV cache of a finished prefill. It can be taken once.
 *
 * @param host the IP address of the prefill worker
 * @param port its TCP port
 * @param id the id of the cache at that worker
 */
public record CacheHandle(String host, int port, String id) {}
