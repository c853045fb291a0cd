/**
 * Recognition of requests that crash the workers that run them.
 */
package org.magnoliavane.poison;
