/**
 * Keeps the configuration in force up to date.
 */
package org.magnoliavane.node.configuration;
