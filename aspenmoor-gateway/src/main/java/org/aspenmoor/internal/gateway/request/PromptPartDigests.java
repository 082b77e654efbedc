package org.aspenmoor.internal.gateway.request;

import java.security.MessageDigest;
import java.util.List;
import org.aspenmoor.internal.digest.Sha256;
import org.aspenmoor.internal.serving.Prompt;
import org.aspenmoor.internal.serving.PromptPart;
import org.aspenmoor.internal.serving.quarantine.SuspectDigest;

/**
 * Computes digests of the shared parts of prompts: of all but the last one, which belongs to one request.
 *
 * <p>A digest covers service, model and the part's identity, as an engine's cache does. The caller is left out: the same
 * part terminates an engine whoever sends it.
 */
final class PromptPartDigests {
    /** Distinguishes these digests from those of requests. */
    private static final String DOMAIN = "prompt part";

    private PromptPartDigests() {}

    static List<SuspectDigest> of(String service, Prompt prompt) {
        List<PromptPart> shared =
                prompt.parts().subList(0, Math.max(0, prompt.parts().size() - 1));
        return shared.stream()
                .map(part -> digest(service, prompt.model(), part.identity()))
                .toList();
    }

    private static SuspectDigest digest(String service, String model, String identity) {
        MessageDigest digest = Sha256.create();
        List.of(DOMAIN, service, model, identity).forEach(text -> RequestDigests.update(digest, text));
        return SuspectDigest.of(digest.digest());
    }
}
