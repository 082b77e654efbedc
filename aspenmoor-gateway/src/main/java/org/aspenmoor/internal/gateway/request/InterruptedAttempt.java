package org.aspenmoor.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;

/**
 * An attempt whose connection broke before the answer was complete.
 *
 * @param requestId the request's id
 * @param digest the digest of the request, which is the same each time that its caller sends it
 * @param parts the digests of the shared parts of its prompt
 * @param server the server that the request was sent to
 * @param sinceSent time from sending the request to the break
 * @param sinceAnswerBegan time from the beginning of the answer to the break; zero if it had not begun
 */
record InterruptedAttempt(
        String requestId,
        SuspectDigest digest,
        List<SuspectDigest> parts,
        BackendServer server,
        Duration sinceSent,
        Duration sinceAnswerBegan) {}
