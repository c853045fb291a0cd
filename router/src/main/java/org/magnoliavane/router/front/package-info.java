/**
 * Serves callers over HTTP. A chain of filters leads from the connection to the dispatcher.
 */
package org.magnoliavane.router.front;
