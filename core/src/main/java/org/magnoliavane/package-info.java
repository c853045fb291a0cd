/**
 * Value types that every module shares.
 */
package org.magnoliavane;
