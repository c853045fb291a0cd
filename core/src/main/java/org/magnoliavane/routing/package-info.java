/**
 * What the operators' configuration says about requests: routes, services and limits for callers.
 */
package org.magnoliavane.routing;
