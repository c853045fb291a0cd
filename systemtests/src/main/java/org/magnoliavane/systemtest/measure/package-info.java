/** Measures what a node costs: added time, processor time, memory and control traffic. */
package org.magnoliavane.systemtest.measure;
