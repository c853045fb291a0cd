/**
 * Load generator: an open-loop simulation of callers with a seed, which checks every answer.
 */
package org.magnoliavane.emulator.load;
