/**
 * HTTP server layer of the emulators on top of Grizzly: routes, JSON bodies, event streams and connection faults.
 */
package org.magnoliavane.emulator.http;
