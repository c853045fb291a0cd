/**
 * Configuration text of the operators: its parts, its checks and its version history.
 */
package org.magnoliavane.config;
