/**
 * Detection of poison requests, which crash the workers that run them.
 */
package org.magnoliavane.poison;
