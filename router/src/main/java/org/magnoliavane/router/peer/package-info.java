/**
 * What the nodes tell each other: load, health, and crashes, in datagrams.
 */
package org.magnoliavane.router.peer;
