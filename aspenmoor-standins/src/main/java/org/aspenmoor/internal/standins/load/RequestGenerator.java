package org.aspenmoor.internal.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.document.KindMatch;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;

/** Generates a random mix of the request kinds in a team's documents: completions and plain service calls. */
final class RequestGenerator {
    private static final int MAX_PROMPT_WORDS = 400;
    private static final int MIN_OUTPUT_TOKENS = 10;
    private static final int MAX_OUTPUT_TOKENS = 150;
    private static final double CHAT_FRACTION = 0.3;
    private static final double STREAMED_FRACTION = 0.9;
    private static final double KEYED_FRACTION = 0.7;
    private static final double COMPLETION_FRACTION = 0.6;

    private final List<ServiceDocument> documents;
    private final RandomGenerator random;
    private final String runName;

    RequestGenerator(List<ServiceDocument> documents, RandomGenerator random, String runName) {
        this.documents = documents;
        this.random = random;
        this.runName = runName;
    }

    /** Generates the given number of requests. */
    List<PlannedRequest> generate(int count) {
        List<DocumentKind> completionKinds = new ArrayList<>();
        List<DocumentKind> callKinds = new ArrayList<>();
        for (ServiceDocument document : documents) {
            for (RequestKind kind : document.kinds()) {
                boolean isPlainCall = kind.match().pathPrefix().isPresent();
                (isPlainCall ? callKinds : completionKinds).add(new DocumentKind(document, kind));
            }
        }
        List<PlannedRequest> planned = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            boolean isCompletion =
                    callKinds.isEmpty() || (!completionKinds.isEmpty() && random.nextDouble() < COMPLETION_FRACTION);
            List<DocumentKind> candidates = isCompletion ? completionKinds : callKinds;
            DocumentKind documentKind = candidates.get(random.nextInt(candidates.size()));
            String marker = runName + "." + number;
            planned.add(isCompletion ? generateCompletion(documentKind, marker) : generateCall(documentKind, marker));
        }
        return planned;
    }

    private PlannedRequest generateCompletion(DocumentKind documentKind, String marker) {
        KindMatch match = documentKind.kind().match();
        String model = match.model()
                .orElseGet(() -> documentKind.document().models().getFirst().name());
        int maxOutputTokens = Math.min(
                MAX_OUTPUT_TOKENS,
                Math.max(MIN_OUTPUT_TOKENS + 1, documentKind.kind().longestOutputTokens()));
        return new PlannedRequest.Completion(
                documentKind.kind().name(),
                marker,
                model,
                match.adapter().orElse(""),
                generatePrompt(marker),
                random.nextInt(MIN_OUTPUT_TOKENS, maxOutputTokens),
                random.nextDouble() < CHAT_FRACTION,
                random.nextDouble() < STREAMED_FRACTION);
    }

    private String generatePrompt(String marker) {
        StringBuilder prompt =
                new StringBuilder("Describe scene ").append(marker).append('.');
        int words = random.nextInt(MAX_PROMPT_WORDS);
        for (int word = 0; word < words; word++) {
            prompt.append(" line").append(random.nextInt(1000));
        }
        return prompt.toString();
    }

    private PlannedRequest generateCall(DocumentKind documentKind, String marker) {
        KindMatch match = documentKind.kind().match();
        String service = documentKind.document().service();
        String path = match.pathPrefix().orElseThrow();
        if (match.method().orElse("GET").equals("GET")) {
            return new PlannedRequest.StatusRead(documentKind.kind().name(), marker, service, path + marker);
        }
        Optional<String> key = random.nextDouble() < KEYED_FRACTION ? Optional.of("key-" + marker) : Optional.empty();
        String body = "{\"mark\":\"" + marker + "\",\"amount\":" + random.nextInt(1000) + "}";
        return new PlannedRequest.Creation(documentKind.kind().name(), marker, service, path, body, key);
    }

    private record DocumentKind(ServiceDocument document, RequestKind kind) {}
}
