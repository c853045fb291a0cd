/**
 * Emulator of the weight store.
 */
package org.magnoliavane.emulator.weights;
