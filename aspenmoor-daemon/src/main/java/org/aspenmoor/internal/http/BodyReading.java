package org.aspenmoor.internal.http;

import java.time.Duration;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.settings.CallerLimits;
import ratpack.func.Action;
import ratpack.handling.Context;

/** Reads request bodies up to the limit. */
final class BodyReading {
    private static final int TOO_LARGE = 413;

    private BodyReading() {}

    static void read(Context context, RequestId id, CallerLimits limits, Action<byte[]> then) {
        LimitedBody.read(context, limits.bodyBytes(), () -> refuse(context, id, limits))
                .then(body -> then.execute(body.getBytes()));
    }

    private static void refuse(Context context, RequestId id, CallerLimits limits) {
        Outcome.NotRun refusal = new Outcome.NotRun(
                RefusalReason.MALFORMED,
                Duration.ZERO,
                "The body is longer than " + limits.bodyBytes() + " bytes; send a shorter one.");
        AnswerWriter.writeError(context, id, TOO_LARGE, "not-run", ErrorBodies.notRun(refusal));
    }
}
