/**
 * The operators' configuration: its elements, its validation and its version history.
 */
package org.magnoliavane.config;
