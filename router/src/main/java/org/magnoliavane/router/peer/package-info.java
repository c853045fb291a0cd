/**
 * Exchange of load, health, crashes and reservations between the nodes in datagrams.
 */
package org.magnoliavane.router.peer;
