/**
 * Virtual-clock benchmark of the pool scheduler against baselines.
 */
package org.magnoliavane.bench;
