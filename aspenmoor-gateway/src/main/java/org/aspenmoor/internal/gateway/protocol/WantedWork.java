package org.aspenmoor.internal.gateway.protocol;

/** Which part of a request a backend server is asked for. */
public enum WantedWork {
    /** The answer. */
    ANSWER,
    /** Only the computed prompt, kept for another engine to fetch; the request does not run. */
    PROMPT_ONLY
}
