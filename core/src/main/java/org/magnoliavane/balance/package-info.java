/**
 * Selects workers for requests, limits retries, and blocks requests that crash workers. The package uses no sockets,
 * threads, clocks or random sources; the caller passes in the time and the random numbers.
 */
package org.magnoliavane.balance;
