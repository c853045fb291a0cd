/**
 * The router process on VMs that keep nothing: all nodes are equal, and what must last lies in a store.
 */
package org.magnoliavane.router;
