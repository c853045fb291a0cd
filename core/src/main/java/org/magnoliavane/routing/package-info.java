/**
 * Routing of requests by the operators' configuration: routes, services and limits for callers.
 */
package org.magnoliavane.routing;
