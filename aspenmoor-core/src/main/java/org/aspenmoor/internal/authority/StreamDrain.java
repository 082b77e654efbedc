package org.aspenmoor.internal.authority;

/** Drains the streams of one engine. */
public interface StreamDrain {
    /** Stops accepting new work for the engine; running streams continue or are moved to other engines. Idempotent. */
    void beginDrain();

    /** Accepts new work again. Idempotent. */
    void endDrain();

    /** Returns the number of streams that still run. */
    int running();
}
