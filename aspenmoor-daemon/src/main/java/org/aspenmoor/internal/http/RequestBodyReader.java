package org.aspenmoor.internal.http;

import java.time.Duration;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.settings.CallerLimits;
import ratpack.func.Action;
import ratpack.handling.Context;

/** Reads request bodies and refuses those above the size limit. */
final class RequestBodyReader {
    private static final int PAYLOAD_TOO_LARGE = 413;

    private RequestBodyReader() {}

    static void read(Context context, RequestId id, CallerLimits limits, Action<byte[]> action) {
        LimitedBody.read(context, limits.maxBodyBytes(), () -> refuse(context, id, limits))
                .then(body -> action.execute(body.getBytes()));
    }

    private static void refuse(Context context, RequestId id, CallerLimits limits) {
        Outcome.NotRun refusal = new Outcome.NotRun(
                RefusalReason.MALFORMED,
                Duration.ZERO,
                "The request body is longer than " + limits.maxBodyBytes() + " bytes; send a shorter one.");
        AnswerWriter.writeError(context, id, PAYLOAD_TOO_LARGE, "not-run", ErrorBodies.notRun(refusal));
    }
}
