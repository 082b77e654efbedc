package org.aspenmoor.internal.gateway.caller;

/** A caller for which this entry buffers bytes of answers. Confined to the event loop. */
interface BufferedCaller {
    /** Returns how many bytes wait for the caller to read them. */
    long bufferedBytes();

    /** Returns a number that rises whenever the operating system takes bytes for the caller. */
    long sentBytes();

    /** Cuts the answer, cancels the request and discards the bytes. */
    void drop();
}
