package org.aspenmoor.internal.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.Outcome;
import org.aspenmoor.RefusalReason;
import org.aspenmoor.internal.claim.ClaimKey;
import org.aspenmoor.internal.claim.ClaimRequest;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.claim.RecordedAnswer;
import org.aspenmoor.internal.claims.ClaimMessage;
import org.aspenmoor.internal.digest.Sha256;
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.wire.v1.Header;

/** Requests idempotency claims for calls before they are dispatched, and reports the outcome of those calls. */
final class ClaimClient {
    private static final Duration FULL_RING_RETRY_AFTER = Duration.ofSeconds(1);
    private static final String CONTENT_TYPE = "content-type";

    private final Worker<ClaimMessage> claimWorker;

    ClaimClient(Worker<ClaimMessage> claimWorker) {
        this.claimWorker = claimWorker;
    }

    /** Returns whether a request needs a claim before it may be dispatched. */
    static boolean needsClaim(ActiveRequest request) {
        return !request.kind().idempotent()
                && request.incoming().idempotencyKey().isPresent();
    }

    /** Requests a claim; returns a refusal if the claim worker cannot accept more. */
    Optional<Outcome.NotRun> requestClaim(ActiveRequest request) {
        ClaimKey key = new ClaimKey(
                request.document().team(),
                request.document().service(),
                request.incoming().idempotencyKey().orElseThrow());
        ClaimRequest claim = new ClaimRequest(
                request.id(), key, requestDigest(request.incoming().work()));
        if (claimWorker.offer(new ClaimMessage.Asked(claim))) {
            return Optional.empty();
        }
        return Optional.of(new Outcome.NotRun(
                RefusalReason.OVERLOADED,
                FULL_RING_RETRY_AFTER,
                "Too many calls are waiting for their idempotency claims; retry later."));
    }

    /** Records the answer of a claimed call, for retries under the same key. */
    void recordAnswer(ClaimTicket ticket, PlainAnswer answer) {
        String contentType = answer.headers().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(Header::getValue)
                .findFirst()
                .orElse("");
        RecordedAnswer recorded = new RecordedAnswer(
                answer.status(),
                contentType,
                Optional.of(Base64.getEncoder().encodeToString(answer.body())),
                sha256(answer.body()));
        claimWorker.offer(new ClaimMessage.Answered(ticket, recorded));
    }

    /** Releases the key of a claimed call that is known not to have started. */
    void releaseClaim(ClaimTicket ticket) {
        claimWorker.offer(new ClaimMessage.NeverStarted(ticket));
    }

    /** Converts a recorded answer to the answer that the first caller received. */
    static PlainAnswer replay(RecordedAnswer recorded) {
        Header contentType = Header.newBuilder()
                .setName(CONTENT_TYPE)
                .setValue(recorded.contentType())
                .build();
        Header repeated = Header.newBuilder()
                .setName("Aspenmoor-Repeated")
                .setValue(recorded.bodyBase64().isPresent() ? "whole" : "body-not-kept")
                .build();
        byte[] body = recorded.bodyBase64().map(Base64.getDecoder()::decode).orElse(new byte[0]);
        List<Header> headers = recorded.contentType().isEmpty() ? List.of(repeated) : List.of(contentType, repeated);
        return new PlainAnswer(recorded.status(), headers, body);
    }

    private static String requestDigest(CallerWork work) {
        return switch (work) {
            case CallerWork.Generation generation -> sha256(generation.request().json());
            case CallerWork.PlainCall call ->
                sha256((call.method() + " " + call.path() + "\n").getBytes(StandardCharsets.UTF_8), call.body());
        };
    }

    private static String sha256(byte[]... parts) {
        MessageDigest digest = Sha256.create();
        for (byte[] part : parts) {
            digest.update(part);
        }
        return HexFormat.of().formatHex(digest.digest());
    }
}
