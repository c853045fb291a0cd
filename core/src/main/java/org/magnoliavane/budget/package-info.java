/** The bound on the bytes that a process buffers. */
package org.magnoliavane.budget;
