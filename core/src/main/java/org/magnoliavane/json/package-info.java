/**
 * Reading and writing of JSON.
 */
package org.magnoliavane.json;
