/**
 * Access to the log service.
 */
package org.magnoliavane.node.log;
