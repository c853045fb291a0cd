/**
 * The interface to the store and the follower that reads its topics.
 */
package org.magnoliavane.router.store;
