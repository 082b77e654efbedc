package org.aspenmoor.internal.serving.quarantine;

import java.util.Optional;

/**
 * A request entered or left quarantine.
 *
 * @param request the request
 * @param decision the decision that put it into quarantine; empty if it left
 */
public record QuarantineChange(RequestDigest request, Optional<QuarantineDecision.Quarantined> decision) {}
