package org.aspenmoor.internal.authority;

/** The streams that run on one engine. */
public interface StreamDrain {
    /** Takes no new work for the engine; running streams go on or move elsewhere. Idempotent. */
    void beginDrain();

    /** Takes new work again. Idempotent. */
    void endDrain();

    /** Returns how many streams still run. */
    int running();
}
