package org.aspenmoor.internal.document;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.finding.FindingsException;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectStore;
import org.aspenmoor.internal.store.StoreBudgetException;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;
import org.aspenmoor.internal.store.StoredObject;
import org.aspenmoor.internal.time.TimeSource;

/**
 * Accepts changes of documents. A change is checked, conditional on the revision that the operator read, and recorded in
 * the history.
 *
 * <p>A change is accepted by one conditional update of the document's object, which also stores the operator, the time,
 * the difference and a nonce. The history object of a revision is a copy that is written afterwards: immediately if the
 * process survives and the store answers, otherwise by the next accepted change, which records the current revision in
 * the history before it replaces it. If the process is killed at any moment, either nothing was accepted or the change
 * was accepted together with its record, and the history has no gap below the document in force. Writing the history
 * first would not work: a kill between the two writes would leave a record of a change that never came into force, and
 * the next operator would have to complete or overwrite it although its writer might only be paused.
 */
public final class DocumentAcceptance {
    private static final int MAX_ATTEMPTS = 4;

    private final ObjectStore store;
    private final DocumentHistory history;
    private final DocumentChecker checker;
    private final TimeSource timeSource;
    private final RandomGenerator random;

    public DocumentAcceptance(ObjectStore store, FleetView fleet, TimeSource timeSource, RandomGenerator random) {
        this.store = store;
        this.history = new DocumentHistory(store);
        this.checker = new DocumentChecker(fleet);
        this.timeSource = timeSource;
        this.random = random;
    }

    /** Reads the stored document; empty if the service has none. */
    public Optional<StoredDocument> read(ServiceName name) throws StoreException {
        Optional<StoredObject> object = store.read(StoredDocumentCodec.documentKey(name));
        return object.isEmpty() ? Optional.empty() : Optional.of(StoredDocumentCodec.read(object.get()));
    }

    /** Returns the latest revisions, newest first. */
    public List<StoredDocument> history(ServiceName name, int limit) throws AspenmoorException {
        StoredDocument current = read(name).orElseThrow(() -> noDocument(name));
        return history.latest(current, limit);
    }

    /** Returns one revision. */
    public StoredDocument revision(ServiceName name, long revision) throws AspenmoorException {
        Optional<StoredDocument> current = read(name);
        if (current.filter(stored -> stored.document().revision() == revision).isPresent()) {
            return current.get();
        }
        return history.read(name, revision)
                .orElseThrow(() -> new DocumentNotFoundException(
                        "The history has no revision " + revision + ".",
                        name.toString(),
                        "Choose a revision listed in the history; the last " + DocumentHistory.REVISIONS_KEPT
                                + " are kept."));
    }

    /** Checks the text of a document by itself and against the fleet, without writing anything. */
    public CheckedDocument check(String source, String text) {
        return checker.check(source, text);
    }

    /**
     * Returns what a change would do, without writing anything.
     *
     * @throws FindingsException if the text has mistakes; contains all of them
     * @throws DocumentConflictException if the document no longer has the revision that the operator read
     */
    public ProposedDocument propose(DocumentProposal proposal) throws AspenmoorException {
        ServiceDocument document = checked(proposal);
        Optional<StoredDocument> current = read(proposal.name());
        // Compared with a later revision, the difference would include undoing the change of another operator.
        if (revisionOf(current) != proposal.readRevision()) {
            throw conflict(proposal.name(), proposal.readRevision());
        }
        return new ProposedDocument(document, revisionOf(current), difference(current, document));
    }

    /**
     * Accepts a change if the document still has the revision that the operator read.
     *
     * @throws FindingsException if the text has mistakes; contains all of them
     * @throws DocumentConflictException if another change was accepted first; contains what changed
     * @throws DocumentOutcomeUnknownException if the store did not answer after the change was sent
     */
    public AcceptedDocument accept(DocumentProposal proposal) throws AspenmoorException {
        ServiceDocument document = checked(proposal);
        return accept(proposal.name(), document, proposal.readRevision(), proposal.operator());
    }

    /** Accepts the content of an earlier revision as a new revision; revision numbers never decrease. */
    public AcceptedDocument revert(ServiceName name, long toRevision, long readRevision, String operator)
            throws AspenmoorException {
        ServiceDocument earlier = revision(name, toRevision).document();
        String text = DocumentWriter.write(earlier.withRevision(0));
        return accept(new DocumentProposal(name, text, readRevision, operator));
    }

    private ServiceDocument checked(DocumentProposal proposal) throws FindingsException {
        String subject = "The document of " + proposal.name();
        CheckedDocument checked = checker.check(proposal.name().toString(), proposal.text());
        return new ProposalCheck(proposal).check(checked).orThrow(subject);
    }

    private AcceptedDocument accept(ServiceName name, ServiceDocument document, long readRevision, String operator)
            throws AspenmoorException {
        Optional<StoredDocument> current = read(name);
        if (revisionOf(current) != readRevision) {
            throw conflict(name, readRevision);
        }
        DocumentDifference difference = difference(current, document);
        if (current.isPresent() && difference.isEmpty()) {
            return new AcceptedDocument(current.get(), difference, true);
        }
        if (current.isPresent()) {
            history.record(current.get());
        }
        ServiceDocument next = document.withRevision(readRevision + 1);
        String nonce = RequestId.draw(random).toString();
        Acceptance acceptance = new Acceptance(operator, timeSource.wallClockTime(), nonce, difference.descriptions());
        StoredDocument written = write(current, next, acceptance);
        return new AcceptedDocument(written, difference, tryRecord(written));
    }

    private StoredDocument write(Optional<StoredDocument> current, ServiceDocument next, Acceptance acceptance)
            throws AspenmoorException {
        ServiceName name = ServiceName.of(next);
        String value = StoredDocumentCodec.write(next, acceptance);
        Optional<AspenmoorException> unknownOutcome = Optional.empty();
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            try {
                StoredObject object = writeOnce(current, name, value);
                return new StoredDocument(object, next, Optional.of(acceptance));
            } catch (StoreConflictException conflict) {
                // The conflict may be with our own write whose answer was lost; the nonce shows whether it is.
                return resolveAfterConflict(name, next.revision(), acceptance.nonce(), unknownOutcome);
            } catch (StoreOutcomeUnknownException unknown) {
                // The write may still be in progress, so reading now would prove nothing. Retrying the same write is
                // safe: both have the same condition, so only one of them takes effect.
                unknownOutcome = Optional.of(unknown);
            } catch (StoreUnavailableException | StoreBudgetException notWritten) {
                if (unknownOutcome.isEmpty()) {
                    throw notWritten;
                }
            }
        }
        throw new DocumentOutcomeUnknownException(name, next.revision(), unknownOutcome.orElse(null));
    }

    private StoredObject writeOnce(Optional<StoredDocument> current, ServiceName name, String value)
            throws StoreException {
        if (current.isPresent()) {
            return store.update(current.get().object(), value);
        }
        ObjectKey key = StoredDocumentCodec.documentKey(name);
        return store.create(key, value);
    }

    /** Determines whether the write with this nonce took effect, after a conflict has shown that some write did. */
    private StoredDocument resolveAfterConflict(
            ServiceName name, long revision, String nonce, Optional<AspenmoorException> unknownOutcome)
            throws AspenmoorException {
        try {
            Optional<StoredDocument> current = read(name);
            if (current.filter(stored -> stored.isFrom(nonce)).isPresent()) {
                return current.get();
            }
            if (revisionOf(current) > revision) {
                // A revision is recorded in the history before it is replaced.
                Optional<StoredDocument> recorded = history.read(name, revision);
                if (recorded.filter(stored -> stored.isFrom(nonce)).isPresent()) {
                    return recorded.get();
                }
            }
            // The conflict proves that the document has a newer revision. A read that does not return it comes from a
            // lagging replica and does not show whether the write with the lost answer created that revision.
            if (unknownOutcome.isPresent() && revisionOf(current) < revision) {
                throw new DocumentOutcomeUnknownException(name, revision, unknownOutcome.get());
            }
        } catch (StoreException unreadable) {
            if (unknownOutcome.isPresent()) {
                throw new DocumentOutcomeUnknownException(name, revision, unreadable);
            }
            throw unreadable;
        }
        throw conflict(name, revision - 1);
    }

    private DocumentConflictException conflict(ServiceName name, long readRevision) throws StoreException {
        Optional<StoredDocument> current = read(name);
        Optional<StoredDocument> base = readRevision == 0 ? Optional.empty() : history.read(name, readRevision);
        List<String> changes = List.of();
        if (current.isPresent() && (base.isPresent() || readRevision == 0)) {
            changes = difference(base, current.get().document()).descriptions();
        }
        return new DocumentConflictException(name, readRevision, revisionOf(current), changes);
    }

    private boolean tryRecord(StoredDocument written) {
        try {
            history.record(written);
            history.removeOutdated(written);
            return true;
        } catch (StoreException unrecorded) {
            return false;
        }
    }

    private static DocumentNotFoundException noDocument(ServiceName name) {
        return new DocumentNotFoundException(
                "The service has no document.",
                name.toString(),
                "Check the names of team and service, or accept a first document.");
    }

    private static long revisionOf(Optional<StoredDocument> stored) {
        return stored.map(document -> document.document().revision()).orElse(0L);
    }

    private static DocumentDifference difference(Optional<StoredDocument> before, ServiceDocument after) {
        return before.map(stored -> DocumentDifference.between(stored.document(), after))
                .orElseGet(() -> DocumentDifference.ofNew(after));
    }
}
