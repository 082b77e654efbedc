package org.aspenmoor.internal.bench.replay.run;

import java.time.Duration;

/** Hears how one try of a caller ended. */
interface Callers {
    /** The first event came. */
    void event(CallerAsk ask);

    /** The answer is complete. */
    void complete(CallerAsk ask);

    /** It was refused without having run. */
    void refused(CallerAsk ask, Duration comeBackAfter);

    /** It may have run and got nothing whole. */
    void failed(CallerAsk ask);
}
