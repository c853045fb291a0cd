/**
 * Emulators of the outside systems, for tests, measurements and the demo.
 */
package org.magnoliavane.emulator;
