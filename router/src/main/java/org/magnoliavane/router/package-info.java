/**
 * The router process on VMs without persistent storage. All nodes are equal, and durable state is kept in a store.
 */
package org.magnoliavane.router;
