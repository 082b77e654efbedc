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
                if (takesAllOf(kinds.get(earlier), kinds.get(later))) {
                    findings.add(
                            located.places().placeOf("kinds[" + later + "]"),
                            "The kind \"" + kinds.get(later).name() + "\" never matches: \""
                                    + kinds.get(earlier).name() + "\" stands before it and takes all its requests.",
                            "Move it before \"" + kinds.get(earlier).name() + "\" or narrow the match of that one.");
                    break;
                }
            }
        }
    }

    private static boolean takesAllOf(RequestKind earlier, RequestKind later) {
        KindMatch wide = earlier.match();
        KindMatch narrow = later.match();
        return holdsWhenever(wide.model(), narrow.model(), String::equals)
                && holdsWhenever(wide.adapter(), narrow.adapter(), String::equals)
                && holdsWhenever(wide.method(), narrow.method(), String::equalsIgnoreCase)
                && holdsWhenever(wide.pathPrefix(), narrow.pathPrefix(), (prefix, path) -> path.startsWith(prefix))
                && holdsForPrompts(wide, narrow);
    }

    private static boolean holdsForPrompts(KindMatch wide, KindMatch narrow) {
        // A plain call has no prompt, so every limit on prompts lets it pass.
        boolean narrowTakesPlainCalls =
                narrow.method().isPresent() || narrow.pathPrefix().isPresent();
        return narrowTakesPlainCalls
                || holdsWhenever(
                        wide.mostPromptTokens(), narrow.mostPromptTokens(), (limit, tokens) -> tokens <= limit);
    }

    private static <T> boolean holdsWhenever(Optional<T> wide, Optional<T> narrow, BiPredicate<T, T> implied) {
        if (wide.isEmpty()) {
            return true;
        }
        return narrow.isPresent() && implied.test(wide.get(), narrow.get());
    }
}
