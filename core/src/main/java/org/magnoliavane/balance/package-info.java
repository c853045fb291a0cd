/**
 * Decides which worker gets a request, what may be repeated, and what is refused. No sockets, threads, clocks or random
 * sources: the time and random numbers are passed in.
 */
package org.magnoliavane.balance;
