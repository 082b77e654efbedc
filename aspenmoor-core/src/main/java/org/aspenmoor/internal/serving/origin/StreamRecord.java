package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import java.util.List;

/**
 * What one entry has written to the store about streams that began while several software versions served.
 *
 * @param streams the streams
 * @param age time since it was written, by a clock that may have jumped
 */
public record StreamRecord(List<KnownStream> streams, Duration age) {
    public StreamRecord {
        streams = List.copyOf(streams);
    }
}
