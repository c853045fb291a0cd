/**
 * Runs complete deployments as processes on the loopback interface, for system tests, measurements and the
 * demonstration.
 */
package org.magnoliavane.systemtest;
