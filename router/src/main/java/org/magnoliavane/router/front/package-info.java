/**
 * Serves callers over HTTP: a chain of filters from the connection to the dispatcher.
 */
package org.magnoliavane.router.front;
