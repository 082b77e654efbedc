package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.aspenmoor.internal.finding.Findings;

/** Reports kinds that never match: kinds are matched in order, and an earlier kind may match all their requests. */
final class UnreachableKindCheck implements DocumentCheck {
    @Override
    public void check(LocatedDocument located, Findings findings) {
        List<RequestKind> kinds = located.document().kinds();
        for (int later = 1; later < kinds.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (covers(kinds.get(earlier), kinds.get(later))) {
                    findings.add(
                            located.locations().locationOf("kinds[" + later + "]"),
                            "The kind \"" + kinds.get(later).name() + "\" never matches: \""
                                    + kinds.get(earlier).name()
                                    + "\" is declared before it and matches all its requests.",
                            "Move it before \"" + kinds.get(earlier).name() + "\" or narrow the match of that one.");
                    break;
                }
            }
        }
    }

    private static boolean covers(RequestKind earlier, RequestKind later) {
        KindMatch earlierMatch = earlier.match();
        KindMatch laterMatch = later.match();
        return coversCriterion(earlierMatch.model(), laterMatch.model(), String::equals)
                && coversCriterion(earlierMatch.adapter(), laterMatch.adapter(), String::equals)
                && coversCriterion(earlierMatch.method(), laterMatch.method(), String::equalsIgnoreCase)
                && coversCriterion(
                        earlierMatch.pathPrefix(), laterMatch.pathPrefix(), (prefix, path) -> path.startsWith(prefix))
                && coversPromptLimit(earlierMatch, laterMatch);
    }

    private static boolean coversPromptLimit(KindMatch earlierMatch, KindMatch laterMatch) {
        // A plain call has no prompt, so it satisfies every limit on the prompt length.
        boolean laterMatchesPlainCalls =
                laterMatch.method().isPresent() || laterMatch.pathPrefix().isPresent();
        return laterMatchesPlainCalls
                || coversCriterion(
                        earlierMatch.mostPromptTokens(),
                        laterMatch.mostPromptTokens(),
                        (limit, tokens) -> tokens <= limit);
    }

    private static <T> boolean coversCriterion(
            Optional<T> earlierCriterion, Optional<T> laterCriterion, BiPredicate<T, T> implies) {
        if (earlierCriterion.isEmpty()) {
            return true;
        }
        return laterCriterion.isPresent() && implies.test(earlierCriterion.get(), laterCriterion.get());
    }
}
