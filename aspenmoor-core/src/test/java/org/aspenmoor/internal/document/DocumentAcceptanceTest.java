package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Random;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ScriptedObjectStore.Fault;
import org.aspenmoor.internal.finding.FindingsException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DocumentAcceptanceTest {
    private static final ServiceName NAME = new ServiceName("studio", "drafting");
    private static final String SECOND = DocumentTexts.DRAFTING.replace("\"version\": \"3\"", "\"version\": \"4\"");
    private static final String THIRD = DocumentTexts.DRAFTING.replace("\"weight\": 5", "\"weight\": 9");

    private ScriptedObjectStore store;
    private DocumentAcceptance acceptance;

    @BeforeMethod
    public void open_an_empty_store() {
        store = new ScriptedObjectStore();
        acceptance = new DocumentAcceptance(store, new UnknownFleetView(), new ManualTimeSource(), new Random(3));
    }

    @Test
    public void should_increment_the_revision_and_record_operator_time_and_changes() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        AcceptedDocument second = accept(SECOND, 1, "bolat");

        assertEquals(second.stored().document().revision(), 2L);
        assertTrue(second.historyRecorded());
        List<StoredDocument> history = acceptance.history(NAME, 10);
        assertEquals(history.size(), 2);
        Acceptance recorded = acceptance.revision(NAME, 2).acceptance().orElseThrow();
        assertEquals(recorded.operator(), "bolat");
        assertEquals(recorded.acceptedAt(), new ManualTimeSource().wallClockTime());
        assertEquals(recorded.changes(), List.of("Model scene-drafter goes from version 3 to 4."));
    }

    @Test
    public void should_keep_the_revision_when_the_declaration_is_unchanged() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");

        AcceptedDocument again = accept("// only a comment\n" + DocumentTexts.DRAFTING, 1, "bolat");

        assertTrue(again.difference().isEmpty());
        assertEquals(again.stored().document().revision(), 1L);
    }

    @Test
    public void should_report_all_mistakes_and_write_nothing_when_the_text_is_invalid() {
        String text = DocumentTexts.DRAFTING
                .replace("\"service\"", "\"revision\": 7, \"service\"")
                .replace("\"weight\": 5", "\"weight\": 0");

        FindingsException refused = expectThrows(FindingsException.class, () -> accept(text, 0, "aigul"));

        assertEquals(refused.findings().size(), 2);
        assertTrue(store.memory().read(StoredDocumentCodec.documentKey(NAME)).isEmpty());
    }

    @DataProvider
    public Object[][] writes_preceded_by_a_concurrent_change() {
        return new Object[][] {{1}, {2}};
    }

    @Test(dataProvider = "writes_preceded_by_a_concurrent_change")
    public void should_report_the_other_changes_when_a_concurrent_change_is_accepted_first(int write)
            throws AspenmoorException {
        // Two operators read revision 1 and accept concurrently: the second operator's change is accepted between the
        // first operator's read and one of her writes. Without the conditional update, one of the changes would be
        // lost without notice.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.beforeWrite(write, () -> acceptUnchecked(SECOND, 1, "bolat"));

        DocumentConflictException conflict =
                expectThrows(DocumentConflictException.class, () -> accept(THIRD, 1, "aigul"));

        assertEquals(conflict.currentRevision(), 2L);
        assertEquals(conflict.changesMeanwhile(), List.of("Model scene-drafter goes from version 3 to 4."));
        assertEquals(
                acceptance.read(NAME).orElseThrow().acceptance().orElseThrow().operator(), "bolat");
    }

    @Test
    public void should_refuse_a_change_when_it_is_based_on_an_old_revision() throws AspenmoorException {
        // An operator accepts a file based on revision 1 hours after revision 2 was accepted. If it were accepted,
        // the old file would undo the second change, and the revision would not increase.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        accept(SECOND, 1, "bolat");

        DocumentConflictException conflict =
                expectThrows(DocumentConflictException.class, () -> accept(THIRD, 1, "aigul"));

        assertEquals(conflict.changesMeanwhile(), List.of("Model scene-drafter goes from version 3 to 4."));
        assertEquals(acceptance.read(NAME).orElseThrow().document().revision(), 2L);
    }

    @DataProvider
    public Object[][] lost_writes() {
        return new Object[][] {
            {List.of(Fault.NONE, Fault.ANSWER_LOST)},
            {List.of(Fault.NONE, Fault.REQUEST_LOST)},
            {List.of(Fault.NONE, Fault.ANSWER_LOST, Fault.UNAVAILABLE, Fault.REQUEST_LOST)},
            {List.of(Fault.ANSWER_LOST, Fault.NONE, Fault.ANSWER_LOST)},
            {List.of(Fault.NONE, Fault.REQUEST_LOST, Fault.ANSWER_LOST)},
        };
    }

    @Test(dataProvider = "lost_writes")
    public void should_report_the_change_as_accepted_when_the_store_answer_was_lost(List<Fault> faults)
            throws AspenmoorException {
        // The answer to the conditional update is lost, in some cases before and in others after the update took
        // effect. If that were treated as a failure, the operator would be told of a conflict with her own change.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.failNextWrites(faults);

        AcceptedDocument accepted = accept(SECOND, 1, "aigul");

        assertEquals(accepted.stored().document().revision(), 2L);
        assertEquals(acceptance.read(NAME).orElseThrow().document().revision(), 2L);
    }

    @Test
    public void should_recognise_its_own_change_when_a_later_change_replaced_it() throws AspenmoorException {
        // The answer is lost after the write took effect, and another operator accepts the next revision before the
        // retry. The document no longer contains the nonce, but the history does.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.failNextWrites(List.of(Fault.NONE, Fault.ANSWER_LOST));
        store.beforeWrite(3, () -> acceptUnchecked(THIRD, 2, "bolat"));

        AcceptedDocument accepted = accept(SECOND, 1, "aigul");

        assertEquals(accepted.stored().document().revision(), 2L);
        assertEquals(acceptance.read(NAME).orElseThrow().document().revision(), 3L);
    }

    @Test
    public void should_report_an_unknown_outcome_when_a_lagging_replica_answers() throws AspenmoorException {
        // The answer is lost after the write took effect, the retry conflicts, and the read that should resolve it
        // comes from a lagging replica. Without a check, the operator would be told that nothing was written although
        // her change is in force.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        StoredObject earlier =
                store.memory().read(StoredDocumentCodec.documentKey(NAME)).orElseThrow();
        store.failNextWrites(List.of(Fault.NONE, Fault.ANSWER_LOST));
        store.beforeWrite(3, () -> store.answerReadsWithOutdated(earlier));

        assertThrows(DocumentOutcomeUnknownException.class, () -> accept(SECOND, 1, "aigul"));
    }

    @Test
    public void should_report_an_unknown_outcome_when_the_store_does_not_answer_again() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.failNextWrites(
                List.of(Fault.NONE, Fault.ANSWER_LOST, Fault.UNAVAILABLE, Fault.UNAVAILABLE, Fault.UNAVAILABLE));

        assertThrows(DocumentOutcomeUnknownException.class, () -> accept(SECOND, 1, "aigul"));
    }

    @Test
    public void should_report_that_nothing_was_written_when_the_store_is_unavailable() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.failNextWrites(List.of(Fault.NONE, Fault.UNAVAILABLE));

        assertThrows(StoreUnavailableException.class, () -> accept(SECOND, 1, "aigul"));
        assertEquals(acceptance.read(NAME).orElseThrow().document().revision(), 1L);
    }

    @DataProvider
    public Object[][] kills() {
        return new Object[][] {
            {List.of(Fault.KILLED_BEFORE), 1L},
            {List.of(Fault.KILLED_AFTER), 1L},
            {List.of(Fault.NONE, Fault.KILLED_BEFORE), 1L},
            {List.of(Fault.NONE, Fault.KILLED_AFTER), 2L},
            {List.of(Fault.NONE, Fault.NONE, Fault.KILLED_BEFORE), 2L},
            {List.of(Fault.NONE, Fault.NONE, Fault.KILLED_AFTER), 2L},
        };
    }

    @Test(dataProvider = "kills")
    public void should_leave_no_gap_in_the_history_when_the_process_is_killed(List<Fault> faults, long expectedRevision)
            throws AspenmoorException {
        // The entry is killed before or after any of the three writes of an acceptance. The failures to prevent are a
        // change in force without a record of who accepted it, and a record of a change that never came into force.
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        store.failNextWrites(faults);
        assertThrows(ScriptedObjectStore.KilledException.class, () -> accept(SECOND, 1, "aigul"));

        long current = acceptance.read(NAME).orElseThrow().document().revision();
        assertEquals(current, expectedRevision);
        assertEquals(acceptance.history(NAME, 10).size(), (int) current);

        accept(THIRD, current, "bolat");

        for (long revision = 1; revision <= current + 1; revision++) {
            assertTrue(
                    store.memory()
                            .read(StoredDocumentCodec.revisionKey(NAME, revision))
                            .isPresent(),
                    "revision " + revision);
        }
        assertFalse(store.memory()
                .read(StoredDocumentCodec.revisionKey(NAME, current + 2))
                .isPresent());
    }

    @Test
    public void should_create_a_new_revision_when_reverting() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        accept(SECOND, 1, "aigul");

        AcceptedDocument reverted = acceptance.revert(NAME, 1, 2, "bolat");

        assertEquals(reverted.stored().document().revision(), 3L);
        assertEquals(reverted.difference().descriptions(), List.of("Model scene-drafter goes from version 4 to 3."));
    }

    @Test
    public void should_remove_the_oldest_revision_when_the_history_is_full() throws AspenmoorException {
        accept(DocumentTexts.DRAFTING, 0, "aigul");
        for (long revision = 1; revision <= DocumentHistory.REVISIONS_KEPT; revision++) {
            accept(revision % 2 == 0 ? SECOND : THIRD, revision, "aigul");
        }

        assertThrows(DocumentNotFoundException.class, () -> acceptance.revision(NAME, 1));
        assertEquals(acceptance.history(NAME, 1000).size(), DocumentHistory.REVISIONS_KEPT);
    }

    private AcceptedDocument accept(String text, long readRevision, String operator) throws AspenmoorException {
        return acceptance.accept(new DocumentProposal(NAME, text, readRevision, operator));
    }

    private void acceptUnchecked(String text, long readRevision, String operator) {
        try {
            accept(text, readRevision, operator);
        } catch (AspenmoorException unexpected) {
            throw new AssertionError(unexpected);
        }
    }
}
