/**
 * Limits what an organisation uses at all nodes together. The package uses no sockets, threads, clocks or random sources; the
 * caller passes in the time.
 */
package org.magnoliavane.usage;
