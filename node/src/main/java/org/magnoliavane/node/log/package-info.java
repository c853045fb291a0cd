/**
 * Client of the log service, which stores streams of records.
 */
package org.magnoliavane.node.log;
