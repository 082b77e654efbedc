package org.aspenmoor.internal.engine;

/** What an engine does with requests. */
public enum EngineRole {
    /** Computes prompts and hands the cache on. */
    PREFILL,
    /** Takes over a cache and generates the answer. */
    DECODE,
    /** Does both for the same request. */
    WHOLE
}
