/**
 * Command line: starts nodes and routers, and runs the commands for operators.
 */
package org.magnoliavane.cli;
