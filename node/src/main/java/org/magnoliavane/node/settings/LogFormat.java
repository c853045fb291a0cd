package org.magnoliavane.node.settings;

/**
 * Formats of log lines.
 */
public enum LogFormat {
    /** One line of text for each event. */
    TEXT,
    /** One JSON object on a line for each event. */
    JSON
}
