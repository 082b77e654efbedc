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
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.Placement;

/** The first stage of a generation: one engine does the prefill and holds the cache for another engine. */
final class PrefillAttempt implements ExchangeListener, WatchedAttempt {
    /** An answer that contains a handle is far shorter. */
    private static final int MAX_BODY_BYTES = 65_536;

    private final ServedRequest request;
    private final BackendProtocol protocol;
    private final Placement.Disaggregated placement;
    private final AssignedWork work;
    private final StringBuilder body = new StringBuilder();
    private HttpResponseStatus status;
    private AnswerMetadata metadata;

    PrefillAttempt(
            ServedRequest request, BackendProtocol protocol, Placement.Disaggregated placement, AssignedWork work) {
        this.request = request;
        this.protocol = protocol;
        this.placement = placement;
        this.work = work;
    }

    @Override
    public void headReceived(HttpResponse head, AnswerMetadata answerMetadata) {
        metadata = answerMetadata;
        request.loadReported(work, metadata);
        status = head.status();
    }

    @Override
    public long maxBodyBytes() {
        return MAX_BODY_BYTES;
    }

    @Override
    public void dataReceived(ByteBuf part) {
        body.append(part.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void completed() {
        boolean accepted = status.code() == HttpResponseStatus.OK.code();
        Optional<String> handle = accepted ? protocol.readCacheHandle(body.toString()) : Optional.empty();
        if (handle.isEmpty()) {
            AttemptEnd end =
                    metadata.notExecuted() ? AnswerAttempt.rejection(status, metadata) : new AttemptEnd.Failed();
            request.prefillFailed(
                    placement, work, end, "the answer has status " + status.code() + " and no cache handle");
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

    @Override
    public String stallReason() {
        return "no answer arrived within the stall limit";
    }

    /** Returns the engine that computes the prompt. */
    BackendServer engine() {
        return placement.prefill();
    }

    @Override
    public Optional<String> refusalAfterConnect() {
        return request.refusalAfterConnect(engine());
    }

    @Override
    public void withheld(String reason) {
        request.prefillFailed(placement, work, new AttemptEnd.Withheld(), reason);
    }

    @Override
    public void neverSent(String reason) {
        request.prefillFailed(placement, work, new AttemptEnd.NeverSent(), reason);
    }

    @Override
    public void failed(String reason) {
        request.fatalCheck().connectionBroken(placement.prefill(), work, Duration.ZERO);
        request.prefillFailed(placement, work, new AttemptEnd.Lost(), reason);
    }
}
