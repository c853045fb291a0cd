/**
 * Emulator of the plain HTTP service for bookings and payments.
 */
package org.magnoliavane.emulator.booking;
