/**
 * Views of the live nodes and backend servers, and the choice of owners among them.
 */
package org.magnoliavane.membership;
