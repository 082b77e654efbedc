package org.aspenmoor.internal.claim;

import org.aspenmoor.RequestId;

/**
 * A call that wants to run under its key.
 *
 * @param id the caller's request
 * @param key what it is claimed under
 * @param bodyDigest a digest of method, path and body, by which another call under the same key is seen
 */
public record ClaimRequest(RequestId id, ClaimKey key, String bodyDigest) {}
