/**
 * Client of the log service, which keeps streams of records.
 */
package org.magnoliavane.node.log;
