/**
 * HTTP client based on the Grizzly transport, with one connection for each request.
 */
package org.magnoliavane.http;
