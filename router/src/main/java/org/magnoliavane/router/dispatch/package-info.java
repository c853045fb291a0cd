/**
 * Sends requests to workers and decides what follows from each answer.
 */
package org.magnoliavane.router.dispatch;
