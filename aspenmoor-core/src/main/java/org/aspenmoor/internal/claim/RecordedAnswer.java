package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * The answer of a call that ran, as it is given to repeats.
 *
 * @param status the HTTP status
 * @param contentType the body's type
 * @param bodyBase64 the body, unless it was too large or room was needed
 * @param bodyDigest the body's digest
 */
public record RecordedAnswer(int status, String contentType, Optional<String> bodyBase64, String bodyDigest) {
    /** Returns the answer without its body. */
    RecordedAnswer withoutBody() {
        return new RecordedAnswer(status, contentType, Optional.empty(), bodyDigest);
    }

    /** Returns the answer, without its body if that is longer than allowed. */
    RecordedAnswer withBodyUpTo(int maxBodyCharacters) {
        boolean tooLong =
                bodyBase64.map(body -> body.length() > maxBodyCharacters).orElse(false);
        return tooLong ? withoutBody() : this;
    }
}
