/**
 * Small HTTP server layer of the emulators over Grizzly: routes, JSON bodies, event streams and connection faults.
 */
package org.magnoliavane.emulator.http;
