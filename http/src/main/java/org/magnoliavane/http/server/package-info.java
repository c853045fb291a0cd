/**
 * Components of HTTP servers that respond without blocking a thread and detect that a caller has disconnected.
 */
package org.magnoliavane.http.server;
