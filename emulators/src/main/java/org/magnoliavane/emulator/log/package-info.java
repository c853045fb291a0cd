/**
 * Emulator of the append-only log service.
 */
package org.magnoliavane.emulator.log;
