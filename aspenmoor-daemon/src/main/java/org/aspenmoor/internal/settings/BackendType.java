package org.aspenmoor.internal.settings;

/** Type of an agent's backend server. */
public enum BackendType {
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    PLAIN_SERVICE
}
