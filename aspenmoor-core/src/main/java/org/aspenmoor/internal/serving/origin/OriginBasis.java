package org.aspenmoor.internal.serving.origin;

/** Why a stream is taken to have a certain origin. */
public enum OriginBasis {
    /** This entry or another one remembers it. */
    REMEMBERED,
    /** No other software version may have begun streams that callers still take up. */
    ONLY_VERSION
}
