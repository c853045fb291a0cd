/**
 * HTTP endpoints for callers and operators, and the filters that process the requests of callers.
 */
package org.magnoliavane.node.http;
