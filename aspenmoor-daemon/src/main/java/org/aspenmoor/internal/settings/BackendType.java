package org.aspenmoor.internal.settings;

/** What stands behind an agent. */
public enum BackendType {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN_SERVICE
}
