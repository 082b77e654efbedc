package org.aspenmoor.internal.standins.http;

import java.io.IOException;

/** Handles the HTTP calls to a stand-in. */
@FunctionalInterface
public interface Handler {
    /** Handles one call; runs on a separate thread for each call. */
    void handle(Call call) throws IOException;
}
