/**
 * Cluster membership: views of the live nodes and backend servers, and the selection of owners among them.
 */
package org.magnoliavane.membership;
