package org.aspenmoor.internal.serving;

/** The work that a server does for an attempt before its answer starts. */
public enum WorkKind {
    /** A plain server processes the request. */
    PLAIN,
    /** An engine computes the prompt for another engine. */
    PROMPT_ONLY,
    /** An engine computes the prompt and generates the answer. */
    WHOLE,
    /** An engine takes over a computed prompt and generates the answer. */
    HANDOFF
}
