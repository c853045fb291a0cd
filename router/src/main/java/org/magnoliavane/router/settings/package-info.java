/**
 * Settings of the router process.
 */
package org.magnoliavane.router.settings;
