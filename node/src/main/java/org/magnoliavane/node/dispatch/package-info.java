/**
 * Dispatch to backend servers: the model engines and the servers of plain services.
 */
package org.magnoliavane.node.dispatch;
