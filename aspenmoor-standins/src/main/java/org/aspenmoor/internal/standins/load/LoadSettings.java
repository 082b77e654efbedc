package org.aspenmoor.internal.standins.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.document.ServiceDocument;

/**
 * Settings of a run of the load tool.
 *
 * @param entries addresses of the entries, used in rotation
 * @param ledgers addresses of the stand-ins whose ledgers are read after the run
 * @param token the team's token
 * @param documents the team's documents, whose request kinds are sent
 * @param requests number of requests
 * @param concurrency number of concurrent requests
 * @param maxAttempts maximum number of attempts for a request that is refused
 * @param timeout timeout of one attempt
 * @param repeatKeys whether calls with an idempotency key are sent twice
 * @param seed seed of the random request mix
 */
public record LoadSettings(
        List<URI> entries,
        List<URI> ledgers,
        String token,
        List<ServiceDocument> documents,
        int requests,
        int concurrency,
        int maxAttempts,
        Duration timeout,
        boolean repeatKeys,
        long seed) {
    public LoadSettings {
        entries = List.copyOf(entries);
        ledgers = List.copyOf(ledgers);
        documents = List.copyOf(documents);
    }
}
