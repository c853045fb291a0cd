/**
 * What the router asks of the store, and the controller that follows it.
 */
package org.magnoliavane.router.store;
