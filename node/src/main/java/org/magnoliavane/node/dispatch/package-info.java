/**
 * Dispatch of requests to backend servers: the engines of model services and the servers of plain services.
 */
package org.magnoliavane.node.dispatch;
