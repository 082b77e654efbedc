package org.aspenmoor.internal.claim;

import java.util.Optional;

/**
 * One claim as the store keeps it.
 *
 * @param keyHash the claimed key
 * @param bodyDigest what the call was
 * @param nonce whose claim it is
 * @param claimedAtSeconds when, by the claimer's time of day
 * @param answer what the call was answered, once that is known
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
