package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Compares the kinds of request of two documents, including their order. */
final class KindDifference {
    private KindDifference() {}

    static void add(List<RequestKind> before, List<RequestKind> after, List<DocumentChange> changes) {
        Map<String, RequestKind> previousByName = DocumentDifference.byName(before, RequestKind::name);
        Map<String, RequestKind> currentByName = DocumentDifference.byName(after, RequestKind::name);
        for (RequestKind kind : after) {
            RequestKind previous = previousByName.get(kind.name());
            if (previous == null) {
                changes.add(new DocumentChange.KindAdded(kind));
            } else if (!previous.equals(kind)) {
                changes.add(new DocumentChange.KindChanged(kind.name(), changedFields(previous, kind)));
            }
        }
        for (RequestKind kind : before) {
            if (!currentByName.containsKey(kind.name())) {
                changes.add(new DocumentChange.KindRemoved(kind));
            }
        }
        List<String> keptBefore = retainedNames(before, currentByName);
        List<String> keptAfter = retainedNames(after, previousByName);
        if (!keptBefore.equals(keptAfter)) {
            changes.add(new DocumentChange.KindsReordered(
                    after.stream().map(RequestKind::name).toList()));
        }
    }

    private static List<String> retainedNames(List<RequestKind> kinds, Map<String, RequestKind> retained) {
        return kinds.stream()
                .map(RequestKind::name)
                .filter(retained::containsKey)
                .toList();
    }

    private static List<FieldChange> changedFields(RequestKind before, RequestKind after) {
        List<FieldChange> fields = new ArrayList<>();
        compare(fields, "weight", MessageText.number(before.weight()), MessageText.number(after.weight()));
        compare(fields, "deadline", MessageText.seconds(before.deadline()), MessageText.seconds(after.deadline()));
        compare(fields, "idempotent", before.idempotent(), after.idempotent());
        compare(fields, "longestOutputTokens", before.longestOutputTokens(), after.longestOutputTokens());
        KindMatch previousMatch = before.match();
        KindMatch currentMatch = after.match();
        compare(fields, "model", format(previousMatch.model()), format(currentMatch.model()));
        compare(fields, "adapter", format(previousMatch.adapter()), format(currentMatch.adapter()));
        compare(fields, "method", format(previousMatch.method()), format(currentMatch.method()));
        compare(fields, "pathPrefix", format(previousMatch.pathPrefix()), format(currentMatch.pathPrefix()));
        compare(
                fields,
                "mostPromptTokens",
                format(previousMatch.mostPromptTokens()),
                format(currentMatch.mostPromptTokens()));
        return fields;
    }

    private static void compare(List<FieldChange> fields, String field, Object before, Object after) {
        if (!before.equals(after)) {
            fields.add(new FieldChange(field, before.toString(), after.toString()));
        }
    }

    private static String format(Optional<?> criterion) {
        return criterion.map(Object::toString).orElse("(any)");
    }
}
