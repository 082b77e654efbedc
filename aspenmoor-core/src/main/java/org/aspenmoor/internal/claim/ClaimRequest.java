package org.aspenmoor.internal.claim;

import org.aspenmoor.RequestId;

/**
 * A call whose idempotency key is to be claimed.
 *
 * @param id the id of the caller's request
 * @param key the key to claim
 * @param bodyDigest a digest of method, path and body, which reveals a different call with the same key
 */
public record ClaimRequest(RequestId id, ClaimKey key, String bodyDigest) {}
