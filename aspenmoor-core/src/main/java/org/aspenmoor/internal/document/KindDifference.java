package org.aspenmoor.internal.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Compares kinds of request, whose order matters. */
final class KindDifference {
    private KindDifference() {}

    static void add(List<RequestKind> before, List<RequestKind> after, List<DocumentChange> changes) {
        Map<String, RequestKind> old = DocumentDifference.byName(before, RequestKind::name);
        Map<String, RequestKind> current = DocumentDifference.byName(after, RequestKind::name);
        for (RequestKind kind : after) {
            RequestKind previous = old.get(kind.name());
            if (previous == null) {
                changes.add(new DocumentChange.KindAdded(kind));
            } else if (!previous.equals(kind)) {
                changes.add(new DocumentChange.KindChanged(kind.name(), fields(previous, kind)));
            }
        }
        for (RequestKind kind : before) {
            if (!current.containsKey(kind.name())) {
                changes.add(new DocumentChange.KindRemoved(kind));
            }
        }
        List<String> keptBefore = names(before, current);
        List<String> keptAfter = names(after, old);
        if (!keptBefore.equals(keptAfter)) {
            changes.add(new DocumentChange.KindsReordered(
                    after.stream().map(RequestKind::name).toList()));
        }
    }

    private static List<String> names(List<RequestKind> kinds, Map<String, RequestKind> retained) {
        return kinds.stream()
                .map(RequestKind::name)
                .filter(retained::containsKey)
                .toList();
    }

    private static List<FieldChange> fields(RequestKind before, RequestKind after) {
        List<FieldChange> fields = new ArrayList<>();
        compare(fields, "weight", MessageText.number(before.weight()), MessageText.number(after.weight()));
        compare(fields, "deadline", MessageText.seconds(before.deadline()), MessageText.seconds(after.deadline()));
        compare(fields, "idempotent", before.idempotent(), after.idempotent());
        compare(fields, "longestOutputTokens", before.longestOutputTokens(), after.longestOutputTokens());
        KindMatch old = before.match();
        KindMatch current = after.match();
        compare(fields, "model", format(old.model()), format(current.model()));
        compare(fields, "adapter", format(old.adapter()), format(current.adapter()));
        compare(fields, "method", format(old.method()), format(current.method()));
        compare(fields, "pathPrefix", format(old.pathPrefix()), format(current.pathPrefix()));
        compare(fields, "mostPromptTokens", format(old.mostPromptTokens()), format(current.mostPromptTokens()));
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
