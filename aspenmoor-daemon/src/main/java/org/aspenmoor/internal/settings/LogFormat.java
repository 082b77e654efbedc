package org.aspenmoor.internal.settings;

/** Output format of the log. */
public enum LogFormat {
    /** One line of text per message. */
    TEXT,
    /** One JSON object per line. */
    JSON
}
