package org.aspenmoor.internal.http;

import io.netty.util.ByteProcessor;

/** Finds lines that begin with a blank in the bytes of a head, which may arrive in parts. */
final class FoldedLineFinder implements ByteProcessor {
    private static final byte LINE_FEED = '\n';
    private static final byte SPACE = ' ';
    private static final byte TAB = '\t';

    private byte previous;
    private boolean found;

    @Override
    public boolean process(byte next) {
        found |= previous == LINE_FEED && (next == SPACE || next == TAB);
        previous = next;
        return true;
    }

    boolean found() {
        return found;
    }

    /** Prepares this finder for the next head. */
    void reset() {
        previous = 0;
        found = false;
    }
}
