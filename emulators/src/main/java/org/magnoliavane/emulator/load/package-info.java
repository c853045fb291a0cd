/**
 * Load tool: callers as an open loop with a seed, which check every answer.
 */
package org.magnoliavane.emulator.load;
