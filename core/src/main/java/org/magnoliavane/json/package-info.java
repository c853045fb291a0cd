/**
 * Reads and writes JSON.
 */
package org.magnoliavane.json;
