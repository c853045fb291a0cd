/**
 * HTTP client over the Grizzly transport, with one connection for each exchange.
 */
package org.magnoliavane.http;
