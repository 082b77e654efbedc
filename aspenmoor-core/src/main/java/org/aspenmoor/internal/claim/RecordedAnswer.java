package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * The recorded answer of a call that ran, which is returned to retries of the call.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param bodyBase64 the body; empty if it was too large or was dropped to limit the size of the bucket
 * @param bodyDigest the digest of the body
 */
public record RecordedAnswer(int status, String contentType, Optional<String> bodyBase64, String bodyDigest) {
    /** Returns the answer without its body. */
    RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, Optional.empty(), bodyDigest);
    }

    /** Returns the answer, without its body if the body is longer than the limit. */
    RecordedAnswer withBodyUpTo(int maxBodyCharacters) {
        boolean tooLong =
                bodyBase64.map(body -> body.length() > maxBodyCharacters).orElse(false);
        return tooLong ? withoutBody() : this;
    }
}
