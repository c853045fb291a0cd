/**
 * Whole deployments of real processes on the loopback interface, and the demonstration that runs on one.
 */
package org.magnoliavane.systemtest;
