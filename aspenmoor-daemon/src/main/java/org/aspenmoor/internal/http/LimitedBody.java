package org.aspenmoor.internal.http;

import ratpack.exec.Promise;
import ratpack.func.Block;
import ratpack.handling.Context;
import ratpack.http.TypedData;

/** Reads request bodies up to a size limit. */
public final class LimitedBody {
    private static final long READ_LIMIT_FACTOR = 4;

    private LimitedBody() {}

    /**
     * Reads a body of at most {@code limit} bytes; for a longer one the given action sends the refusal.
     *
     * <p>Closing a connection while the caller is still sending resets it, and the reset can arrive before the refusal:
     * the caller then sees only a broken connection. A body of up to four times the limit is therefore read to its end
     * and discarded before it is refused.
     */
    public static Promise<TypedData> read(Context context, int limit, Block onTooLong) {
        return context.getRequest()
                .getBody(limit * READ_LIMIT_FACTOR, onTooLong)
                .route(body -> body.getBuffer().readableBytes() > limit, body -> onTooLong.execute());
    }
}
