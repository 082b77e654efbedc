package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;

/** Hears how one try of a caller ended. */
interface CallerListener {
    /** The first event came. */
    void eventReceived(CallerRequest request);

    /** The answer is complete. */
    void completed(CallerRequest request);

    /** It was refused without having run. */
    void refused(CallerRequest request, Duration retryAfter);

    /** It may have run and got nothing whole. */
    void failed(CallerRequest request);
}
