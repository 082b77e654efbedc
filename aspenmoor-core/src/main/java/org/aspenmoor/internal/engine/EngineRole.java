package org.aspenmoor.internal.engine;

/** The phases of a request that an engine executes. */
public enum EngineRole {
    /** Computes prompts and hands their cache off to a decode engine. */
    PREFILL,
    /** Receives the cache of a prompt and generates the answer. */
    DECODE,
    /** Serves both prefill and decode of a request. */
    WHOLE
}
