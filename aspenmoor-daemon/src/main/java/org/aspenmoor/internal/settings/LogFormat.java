package org.aspenmoor.internal.settings;

/** How logs are written. */
public enum LogFormat {
    /** A line of text a message. */
    TEXT,
    /** A JSON object a line. */
    JSON
}
