package org.aspenmoor.internal.serving.quarantine;

import java.util.Optional;

/**
 * A request or a part of prompts entered or left quarantine.
 *
 * @param suspect the request or the part
 * @param decision the decision that put it into quarantine; empty if it left
 */
public record QuarantineChange(SuspectDigest suspect, Optional<QuarantineDecision.Quarantined> decision) {}
