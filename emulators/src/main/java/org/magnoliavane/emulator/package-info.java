/**
 * Emulators of the external systems for tests, benchmarks and the demo.
 */
package org.magnoliavane.emulator;
