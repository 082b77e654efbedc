package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;
import java.util.function.BiPredicate;
import org.aspenmoor.internal.finding.Findings;

/** Kinds are matched in their order, so a kind is dead where an earlier one takes every request of it. */
final class UnreachableKindCheck implements DocumentCheck {
    @Override
    public void check(LocatedDocument located, Findings findings) {
        List<RequestKind> kinds = located.document().kinds();
        for (int later = 1; later < kinds.size(); later++) {
            for (int earlier = 0; earlier < later; earlier++) {
                if (matchesAllOf(kinds.get(earlier), kinds.get(later))) {
                    findings.add(
                            located.locations().locationOf("kinds[" + later + "]"),
                            "The kind \"" + kinds.get(later).name() + "\" never matches: \""
                                    + kinds.get(earlier).name() + "\" stands before it and takes all its requests.",
                            "Move it before \"" + kinds.get(earlier).name() + "\" or narrow the match of that one.");
                    break;
                }
            }
        }
    }

    private static boolean matchesAllOf(RequestKind earlier, RequestKind later) {
        KindMatch earlierMatch = earlier.match();
        KindMatch laterMatch = later.match();
        return isImpliedBy(earlierMatch.model(), laterMatch.model(), String::equals)
                && isImpliedBy(earlierMatch.adapter(), laterMatch.adapter(), String::equals)
                && isImpliedBy(earlierMatch.method(), laterMatch.method(), String::equalsIgnoreCase)
                && isImpliedBy(
                        earlierMatch.pathPrefix(), laterMatch.pathPrefix(), (prefix, path) -> path.startsWith(prefix))
                && impliesPromptLimit(earlierMatch, laterMatch);
    }

    private static boolean impliesPromptLimit(KindMatch earlierMatch, KindMatch laterMatch) {
        // A plain call has no prompt, so every limit on prompts lets it pass.
        boolean laterMatchesPlainCalls =
                laterMatch.method().isPresent() || laterMatch.pathPrefix().isPresent();
        return laterMatchesPlainCalls
                || isImpliedBy(
                        earlierMatch.mostPromptTokens(),
                        laterMatch.mostPromptTokens(),
                        (limit, tokens) -> tokens <= limit);
    }

    private static <T> boolean isImpliedBy(
            Optional<T> earlierMatch, Optional<T> laterMatch, BiPredicate<T, T> implies) {
        if (earlierMatch.isEmpty()) {
            return true;
        }
        return laterMatch.isPresent() && implies.test(earlierMatch.get(), laterMatch.get());
    }
}
