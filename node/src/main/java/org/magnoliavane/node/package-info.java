/**
 * The node daemon: callers' requests pass its filters, and its controllers keep the views that the filters read.
 */
package org.magnoliavane.node;
