package org.aspenmoor.internal.http;

import ratpack.exec.Promise;
import ratpack.func.Block;
import ratpack.handling.Context;
import ratpack.http.TypedData;

/** Reads a request body up to a limit. */
public final class LimitedBody {
    private static final long READ_LIMIT_FACTOR = 4;

    private LimitedBody() {}

    /**
     * Reads a body; one that is too long is answered by the given action instead.
     *
     * <p>Closing a connection on a caller that still sends resets it, and the reset can overtake the answer that says
     * what was wrong: the caller sees a broken connection. So a body moderately beyond the limit is read to its end and
     * dropped before it is refused.
     */
    public static Promise<TypedData> read(Context context, int limit, Block onTooLong) {
        return context.getRequest()
                .getBody(limit * READ_LIMIT_FACTOR, onTooLong)
                .route(body -> body.getBuffer().readableBytes() > limit, body -> onTooLong.execute());
    }
}
