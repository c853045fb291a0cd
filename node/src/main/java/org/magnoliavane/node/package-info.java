/**
 * Process of a node: assembles the servers for callers and operators, the controllers and the dispatchers.
 */
package org.magnoliavane.node;
