package org.aspenmoor.internal.document;

import java.util.List;
import java.util.regex.Pattern;
import org.aspenmoor.internal.finding.Findings;

/** Checks that caller tokens are declared as hashes; a token in plain text would be readable by every operator. */
final class CallerTokenCheck implements DocumentCheck {
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    @Override
    public void check(LocatedDocument located, Findings findings) {
        List<String> hashes = located.document().callerTokenHashes();
        if (hashes.isEmpty()) {
            findings.add(
                    located.locations().locationOf("callerTokenHashes"),
                    "The service has no caller token, so no caller is authorised.",
                    "List the SHA-256 hash of at least one caller's token.");
        }
        for (int index = 0; index < hashes.size(); index++) {
            if (!SHA_256.matcher(hashes.get(index)).matches()) {
                findings.add(
                        located.locations().locationOf("callerTokenHashes[" + index + "]"),
                        "The text is not a SHA-256 hash.",
                        "Write the 64 lower-case hexadecimal digits of the token's SHA-256 hash, never the token itself.");
            }
        }
    }
}
