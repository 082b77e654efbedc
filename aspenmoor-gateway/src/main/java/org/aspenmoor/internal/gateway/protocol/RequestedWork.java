package org.aspenmoor.internal.gateway.protocol;

/** The part of a request that a backend server executes. */
public enum RequestedWork {
    /** Generates the answer. */
    ANSWER,
    /** Prefills the prompt and keeps its cache for transfer to another engine; generates no answer. */
    PROMPT_ONLY
}
