/**
 * Parts for HTTP servers that answer without a waiting thread and notice that a caller has gone.
 */
package org.magnoliavane.http.server;
