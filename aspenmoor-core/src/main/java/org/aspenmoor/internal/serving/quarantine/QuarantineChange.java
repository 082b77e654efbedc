package org.aspenmoor.internal.serving.quarantine;

import java.util.Optional;

/**
 * A request entered or left quarantine.
 *
 * @param request the request
 * @param verdict the decision that put it into quarantine; empty if it left
 */
public record QuarantineChange(RequestDigest request, Optional<Verdict.Quarantined> verdict) {}
