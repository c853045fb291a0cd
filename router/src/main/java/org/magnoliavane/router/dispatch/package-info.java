/**
 * Dispatches requests to workers, and retries, hedges or fails them depending on the responses.
 */
package org.magnoliavane.router.dispatch;
