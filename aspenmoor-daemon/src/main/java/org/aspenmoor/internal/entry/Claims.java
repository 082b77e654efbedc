package org.aspenmoor.internal.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
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
import org.aspenmoor.internal.duty.Worker;
import org.aspenmoor.internal.wire.v1.Header;

/** Claims calls that carry a key before they are dispatched, and reports what became of them. */
final class Claims {
    private static final Duration FULL_RING_COME_BACK = Duration.ofSeconds(1);
    private static final String CONTENT_TYPE = "content-type";

    private final Worker<ClaimMessage> duty;

    Claims(Worker<ClaimMessage> duty) {
        this.duty = duty;
    }

    /** Says whether a request must be claimed first. */
    static boolean needsClaim(ActiveRequest request) {
        return !request.kind().idempotent()
                && request.incoming().idempotencyKey().isPresent();
    }

    /** Asks for a claim; a refusal where the claim duty cannot take more. */
    Optional<Outcome.NotRun> ask(ActiveRequest request) {
        ClaimKey key = new ClaimKey(
                request.document().team(),
                request.document().service(),
                request.incoming().idempotencyKey().orElseThrow());
        ClaimRequest claim =
                new ClaimRequest(request.id(), key, digestOf(request.incoming().work()));
        if (duty.offer(new ClaimMessage.Asked(claim))) {
            return Optional.empty();
        }
        return Optional.of(new Outcome.NotRun(
                RefusalReason.OVERLOADED, FULL_RING_COME_BACK, "Too many calls wait for their claims."));
    }

    /** Records the answer of a claimed call. */
    void answered(ClaimTicket ticket, PlainAnswer answer) {
        String type = answer.headers().stream()
                .filter(header -> header.getName().equalsIgnoreCase(CONTENT_TYPE))
                .map(Header::getValue)
                .findFirst()
                .orElse("");
        RecordedAnswer recorded = new RecordedAnswer(
                answer.status(),
                type,
                Optional.of(Base64.getEncoder().encodeToString(answer.body())),
                digest(answer.body()));
        duty.offer(new ClaimMessage.Answered(ticket, recorded));
    }

    /** Frees the key of a claimed call that certainly never started. */
    void neverStarted(ClaimTicket ticket) {
        duty.offer(new ClaimMessage.NeverStarted(ticket));
    }

    /** Turns a recorded answer back into the one the first caller got. */
    static PlainAnswer replay(RecordedAnswer recorded) {
        Header type = Header.newBuilder()
                .setName(CONTENT_TYPE)
                .setValue(recorded.contentType())
                .build();
        Header repeated = Header.newBuilder()
                .setName("Aspenmoor-Repeated")
                .setValue(recorded.bodyBase64().isPresent() ? "whole" : "body-not-kept")
                .build();
        byte[] body = recorded.bodyBase64().map(Base64.getDecoder()::decode).orElse(new byte[0]);
        List<Header> headers = recorded.contentType().isEmpty() ? List.of(repeated) : List.of(type, repeated);
        return new PlainAnswer(recorded.status(), headers, body);
    }

    private static String digestOf(CallerWork work) {
        return switch (work) {
            case CallerWork.Generation generation -> digest(generation.request().json());
            case CallerWork.PlainCall call ->
                digest((call.method() + " " + call.path() + "\n").getBytes(StandardCharsets.UTF_8), call.body());
        };
    }

    private static String digest(byte[]... parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException missing) {
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
