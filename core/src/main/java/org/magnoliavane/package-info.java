/**
 * Value types that are shared by all modules.
 */
package org.magnoliavane;
