/**
 * Discrete-event simulation that compares the pool scheduler with baseline policies. The engines run on a virtual
 * clock; only the time of scheduling decisions is real.
 */
package org.magnoliavane.bench;
