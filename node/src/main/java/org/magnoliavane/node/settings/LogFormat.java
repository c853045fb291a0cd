package org.magnoliavane.node.settings;

/**
 * Enumerates the formats of log output.
 */
public enum LogFormat {
    /** Each event is a line of text. */
    TEXT,
    /** Each event is a JSON object on a line of its own. */
    JSON
}
