/** Measures the overhead of a node: added latency, CPU time, memory and control traffic. */
package org.magnoliavane.systemtest.measure;
