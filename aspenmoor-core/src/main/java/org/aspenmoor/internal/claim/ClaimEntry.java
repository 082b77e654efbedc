package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * One claim as stored.
 *
 * @param keyHash the hash of the claimed key
 * @param bodyDigest the digest of method, path and body of the call
 * @param nonce identifies the attempt that made the claim
 * @param claimedAtSeconds the time of the claim by the clock of the claiming entry, in seconds since the epoch
 * @param answer the answer of the call, once it is recorded
 */
record ClaimEntry(
        String keyHash, String bodyDigest, String nonce, long claimedAtSeconds, Optional<RecordedAnswer> answer) {
    private static final int CHARACTERS_OF_FIELD_NAMES = 160;

    ClaimEntry withAnswer(RecordedAnswer newAnswer) {
        return new ClaimEntry(keyHash, bodyDigest, nonce, claimedAtSeconds, Optional.of(newAnswer));
    }

    ClaimEntry withoutBody() {
        return new ClaimEntry(keyHash, bodyDigest, nonce, claimedAtSeconds, answer.map(RecordedAnswer::withoutBody));
    }

    int estimatedCharacters() {
        int answerCharacters = answer.map(known ->
                        known.contentType().length() + known.bodyDigest().length() + bodyCharacters())
                .orElse(0);
        return CHARACTERS_OF_FIELD_NAMES + keyHash.length() + bodyDigest.length() + nonce.length() + answerCharacters;
    }

    int bodyCharacters() {
        return answer.flatMap(RecordedAnswer::bodyBase64).map(String::length).orElse(0);
    }
}
