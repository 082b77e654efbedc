package org.aspenmoor.internal.standins.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.internal.document.KindMatch;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;

/** Draws requests of all kinds of a team's documents, drafts and plain calls mixed. */
final class LoadPlan {
    private static final int LONGEST_PROMPT_WORDS = 400;
    private static final int SHORTEST_OUTPUT = 10;
    private static final int MOST_OUTPUT = 150;
    private static final double CHAT_SHARE = 0.3;
    private static final double STREAMED_SHARE = 0.9;
    private static final double KEYED_SHARE = 0.7;
    private static final double DRAFT_SHARE = 0.6;

    private final List<ServiceDocument> documents;
    private final RandomGenerator random;
    private final String runName;

    LoadPlan(List<ServiceDocument> documents, RandomGenerator random, String runName) {
        this.documents = documents;
        this.random = random;
        this.runName = runName;
    }

    /** Draws that many requests. */
    List<PlannedRequest> draw(int count) {
        List<Choice> drafts = new ArrayList<>();
        List<Choice> calls = new ArrayList<>();
        for (ServiceDocument document : documents) {
            for (RequestKind kind : document.kinds()) {
                boolean plain = kind.match().pathPrefix().isPresent();
                (plain ? calls : drafts).add(new Choice(document, kind));
            }
        }
        List<PlannedRequest> planned = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            boolean draft = calls.isEmpty() || (!drafts.isEmpty() && random.nextDouble() < DRAFT_SHARE);
            List<Choice> choices = draft ? drafts : calls;
            Choice choice = choices.get(random.nextInt(choices.size()));
            String mark = runName + "." + number;
            planned.add(draft ? drawDraft(choice, mark) : drawCall(choice, mark));
        }
        return planned;
    }

    private PlannedRequest drawDraft(Choice choice, String mark) {
        KindMatch match = choice.kind().match();
        String model = match.model()
                .orElseGet(() -> choice.document().models().getFirst().name());
        int most = Math.min(
                MOST_OUTPUT, Math.max(SHORTEST_OUTPUT + 1, choice.kind().longestOutputTokens()));
        return new PlannedRequest.Draft(
                choice.kind().name(),
                mark,
                model,
                match.adapter().orElse(""),
                drawPrompt(mark),
                random.nextInt(SHORTEST_OUTPUT, most),
                random.nextDouble() < CHAT_SHARE,
                random.nextDouble() < STREAMED_SHARE);
    }

    private String drawPrompt(String mark) {
        StringBuilder prompt = new StringBuilder("Describe scene ").append(mark).append('.');
        int words = random.nextInt(LONGEST_PROMPT_WORDS);
        for (int word = 0; word < words; word++) {
            prompt.append(" line").append(random.nextInt(1000));
        }
        return prompt.toString();
    }

    private PlannedRequest drawCall(Choice choice, String mark) {
        KindMatch match = choice.kind().match();
        String service = choice.document().service();
        String path = match.pathPrefix().orElseThrow();
        if (match.method().orElse("GET").equals("GET")) {
            return new PlannedRequest.StatusRead(choice.kind().name(), mark, service, path + mark);
        }
        Optional<String> key = random.nextDouble() < KEYED_SHARE ? Optional.of("key-" + mark) : Optional.empty();
        String body = "{\"mark\":\"" + mark + "\",\"amount\":" + random.nextInt(1000) + "}";
        return new PlannedRequest.Creation(choice.kind().name(), mark, service, path, body, key);
    }

    private record Choice(ServiceDocument document, RequestKind kind) {}
}
