/**
 * Command line: starts a node, and the operators' commands.
 */
package org.magnoliavane.cli;
