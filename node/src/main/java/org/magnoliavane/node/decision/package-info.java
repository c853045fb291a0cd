/**
 * Records of the routing and placement decisions about requests.
 */
package org.magnoliavane.node.decision;
