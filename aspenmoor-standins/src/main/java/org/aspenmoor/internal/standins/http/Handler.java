package org.aspenmoor.internal.standins.http;

import java.io.IOException;

/** Answers the calls of a stand-in. */
@FunctionalInterface
public interface Handler {
    /** Answers one call, on a thread of its own. */
    void handle(Call call) throws IOException;
}
