/**
 * Emulator of the VM list.
 */
package org.magnoliavane.emulator.vm;
