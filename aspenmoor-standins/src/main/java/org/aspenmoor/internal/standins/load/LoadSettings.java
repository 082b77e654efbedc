package org.aspenmoor.internal.standins.load;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.document.ServiceDocument;

/**
 * What a run of the load tool sends and where.
 *
 * @param entries addresses of the entries, used in turn
 * @param ledgers addresses of the stand-ins whose ledgers are read afterwards
 * @param token the team's token
 * @param documents the team's documents, whose kinds are sent
 * @param requests how many requests
 * @param concurrency how many at once
 * @param maxAttempts how often a refused request is sent at most
 * @param timeout how long one try may take
 * @param repeatKeys whether calls with an idempotency key are sent a second time
 * @param seed fixes what is sent
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
