package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

public class DocumentDifferenceTest {
    @Test
    public void should_be_empty_when_only_the_revision_differs() {
        ServiceDocument document = DocumentTexts.drafting();

        assertTrue(
                DocumentDifference.between(document, document.withRevision(9)).isEmpty());
    }

    @Test
    public void should_describe_every_change_in_one_sentence() {
        ServiceDocument before = DocumentTexts.drafting();
        ServiceDocument after = read(DocumentTexts.DRAFTING
                .replace("\"version\": \"3\"", "\"version\": \"4\"")
                .replace("\"theatre\", \"version\": \"1\"", "\"film\", \"version\": \"2\"")
                .replace("\"weight\": 5, \"deadlineSeconds\": 2.5", "\"weight\": 6, \"deadlineSeconds\": 2")
                .replace("\"roleChangePrice\": 40", "\"roleChangePrice\": 12.5")
                .replace(DocumentTexts.HASH, "b".repeat(64))
                .replace("\"drafter-2\"", "\"drafter-3\"")
                .replace("\"checksFencingNumbers\": true", "\"checksFencingNumbers\": false"));

        assertEquals(
                DocumentDifference.between(before, after).descriptions(),
                List.of(
                        "Model scene-drafter goes from version 3 to 4.",
                        "Adapter scene-drafter:film is added in version 2.",
                        "Adapter scene-drafter:theatre is removed.",
                        "Kind cue changes: weight 5 -> 6, deadline 2.5 s -> 2 s.",
                        "The price of a role change goes from 40 to 12.5.",
                        "Caller tokens: 1 added, 1 removed.",
                        "Engine drafter-1 no longer checks fencing numbers.",
                        "Engine drafter-3 is added in almaty-2.",
                        "Engine drafter-2 is withdrawn."));
    }

    @Test
    public void should_describe_the_effect_of_a_change_on_engines() {
        ServiceDocument before = DocumentTexts.drafting();
        ServiceDocument after = read(DocumentTexts.DRAFTING
                .replace("\"version\": \"3\"", "\"version\": \"4\"")
                .replace("\"weight\": 5", "\"weight\": 6"));

        List<Optional<String>> effects = DocumentDifference.between(before, after).changes().stream()
                .map(DocumentChange::engineEffect)
                .toList();

        assertEquals(
                effects,
                List.of(
                        Optional.of(
                                "Engines load scene-drafter@4 a few at a time; running streams finish with version 3."),
                        Optional.empty()));
    }

    @Test
    public void should_report_a_change_when_kinds_are_reordered() {
        ServiceDocument before = DocumentTexts.drafting();
        ServiceDocument after = new ServiceDocument(
                before.team(),
                before.service(),
                0,
                before.models(),
                before.kinds().reversed(),
                before.roleChangePrice(),
                before.callerTokenHashes(),
                before.backends());

        assertEquals(
                DocumentDifference.between(before, after).descriptions(),
                List.of("Kinds are matched in the order reading, booking, scene, cue."));
    }

    private static ServiceDocument read(String text) {
        return new DocumentChecker(new UnknownFleetView())
                .check("d", text)
                .located()
                .orElseThrow()
                .document();
    }
}
