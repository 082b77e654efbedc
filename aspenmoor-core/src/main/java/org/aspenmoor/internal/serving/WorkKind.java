package org.aspenmoor.internal.serving;

/** What a server does before its answer to an attempt begins. */
public enum WorkKind {
    /** A plain server works on the request. */
    PLAIN,
    /** An engine computes the prompt for another one. */
    PROMPT_ONLY,
    /** An engine computes the prompt and answers. */
    WHOLE,
    /** An engine takes a computed prompt over and answers. */
    HANDOFF
}
