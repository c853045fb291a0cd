/**
 * Endpoints for callers and operators, and the filters that callers' requests pass.
 */
package org.magnoliavane.node.http;
