package org.aspenmoor.internal.gateway.request;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.aspenmoor.internal.gateway.backend.ExchangeListener;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.gateway.protocol.BackendProtocol;
import org.aspenmoor.internal.gateway.protocol.CacheSource;
import org.aspenmoor.internal.serving.AssignedWork;
import org.aspenmoor.internal.serving.AttemptEnd;
import org.aspenmoor.internal.serving.Placement;

/** The first stage of a generation: one engine computes the prompt and keeps it for another. */
final class PrefillAttempt implements ExchangeListener, WatchedAttempt {
    /** An answer that names a handle is far shorter; anything longer is no such answer. */
    private static final int MOST_BODY_BYTES = 8192;

    private final ServedRequest request;
    private final BackendProtocol protocol;
    private final Placement.Disaggregated placement;
    private final AssignedWork work;
    private final StringBuilder body = new StringBuilder();
    private HttpResponseStatus status;
    private boolean rejected;

    PrefillAttempt(
            ServedRequest request, BackendProtocol protocol, Placement.Disaggregated placement, AssignedWork work) {
        this.request = request;
        this.protocol = protocol;
        this.placement = placement;
        this.work = work;
    }

    @Override
    public void headReceived(HttpResponse head, AnswerMetadata facts) {
        request.loadReported(work, facts);
        status = head.status();
        rejected = facts.notExecuted();
    }

    @Override
    public void dataReceived(ByteBuf part) {
        if (body.length() < MOST_BODY_BYTES) {
            body.append(part.toString(StandardCharsets.UTF_8));
        }
    }

    @Override
    public void completed() {
        boolean accepted = status.code() == HttpResponseStatus.OK.code();
        Optional<String> handle = accepted ? protocol.readCacheHandle(body.toString()) : Optional.empty();
        if (handle.isEmpty()) {
            AttemptEnd end = rejected ? AnswerAttempt.rejection(status) : new AttemptEnd.Failed();
            request.prefillEnded(placement, work, end, "status " + status.code() + ", no handle");
            return;
        }
        CacheSource source =
                new CacheSource(placement.prefill().host(), placement.prefill().port(), handle.get());
        request.prefilled(placement, work, source);
    }

    @Override
    public boolean begun() {
        return status != null;
    }

    @Override
    public AssignedWork work() {
        return work;
    }

    /** Notes that the engine is given up; the exchange was cancelled. */
    void stalled() {
        request.prefillEnded(placement, work, new AttemptEnd.Lost(), "no answer came in time");
    }

    @Override
    public void neverSent(String reason) {
        request.prefillEnded(placement, work, new AttemptEnd.NeverSent(), reason);
    }

    @Override
    public void failed(String reason) {
        request.serverEnds().connectionBroke(placement.prefill(), work, Duration.ZERO);
        request.prefillEnded(placement, work, new AttemptEnd.Lost(), reason);
    }
}
