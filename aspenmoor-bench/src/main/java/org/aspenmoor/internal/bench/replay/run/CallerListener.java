package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;

/** Receives the progress and the end of one attempt of a caller. */
interface CallerListener {
    /** An event of the answer was received. */
    void eventReceived(CallerRequest request);

    /** The answer is complete. */
    void completed(CallerRequest request);

    /** The request was refused and has not run. */
    void refused(CallerRequest request, Duration retryAfter);

    /** The request failed; it may have run, and the caller has no complete answer. */
    void failed(CallerRequest request);
}
