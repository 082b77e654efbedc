package org.aspenmoor.internal.daemon.dissemination;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DocumentKey;
import org.aspenmoor.internal.dissemination.DocumentRevision;
import org.aspenmoor.internal.dissemination.RevisionSummary;
import org.aspenmoor.internal.wire.v1.DocumentAsk;
import org.aspenmoor.internal.wire.v1.DocumentDigest;
import org.aspenmoor.internal.wire.v1.DocumentUpdate;
import org.aspenmoor.internal.wire.v1.Frame;

/** Converts between dissemination messages and the frames of a link. */
public final class DisseminationFrames {
    private DisseminationFrames() {}

    /** Converts a message to a frame. */
    public static Frame toFrame(DisseminationMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        return switch (message) {
            case DisseminationMessage.Update update ->
                frame.setDocumentUpdate(update(update.document())).build();
            case DisseminationMessage.FetchRequest ask ->
                frame.setDocumentAsk(DocumentAsk.newBuilder()
                                .setTeam(ask.key().team())
                                .setService(ask.key().service())
                                .setRevision(ask.revision()))
                        .build();
            case DisseminationMessage.Compare compare ->
                frame.setDocumentDigest(step(DocumentDigest.Step.COMPARE)
                                .setNumber(compare.comparisonId())
                                .setRootHash(compare.rootHash()))
                        .build();
            case DisseminationMessage.Equal equal ->
                frame.setDocumentDigest(equal(equal)).build();
            case DisseminationMessage.Differs differs ->
                frame.setDocumentDigest(step(DocumentDigest.Step.DIFFERS)
                                .setNumber(differs.comparisonId())
                                .addAllBucketHashes(differs.bucketHashes()))
                        .build();
            case DisseminationMessage.BucketRevisions bucketLines ->
                frame.setDocumentDigest(step(DocumentDigest.Step.BUCKET_LINES)
                                .addAllBuckets(bucketLines.buckets())
                                .addAllLines(lines(bucketLines.revisions())))
                        .build();
            case DisseminationMessage.NewerRevisions newerLines ->
                frame.setDocumentDigest(
                                step(DocumentDigest.Step.NEWER_LINES).addAllLines(lines(newerLines.revisions())))
                        .build();
        };
    }

    /** Converts a frame to a message; empty if it carries none or its document cannot be decompressed. */
    public static Optional<DisseminationMessage> fromFrame(Frame frame) {
        return switch (frame.getBodyCase()) {
            case DOCUMENT_UPDATE ->
                document(frame.getDocumentUpdate()).map(document -> new DisseminationMessage.Update(document));
            case DOCUMENT_ASK -> {
                DocumentAsk ask = frame.getDocumentAsk();
                yield Optional.of(new DisseminationMessage.FetchRequest(
                        new DocumentKey(ask.getTeam(), ask.getService()), ask.getRevision()));
            }
            case DOCUMENT_DIGEST -> digest(frame.getDocumentDigest());
            default -> Optional.empty();
        };
    }

    private static Optional<DisseminationMessage> digest(DocumentDigest digest) {
        return switch (digest.getStep()) {
            case COMPARE -> Optional.of(new DisseminationMessage.Compare(digest.getNumber(), digest.getRootHash()));
            case EQUAL -> Optional.of(new DisseminationMessage.Equal(digest.getNumber(), confirmedAge(digest)));
            case DIFFERS ->
                Optional.of(new DisseminationMessage.Differs(digest.getNumber(), digest.getBucketHashesList()));
            case BUCKET_LINES ->
                Optional.of(new DisseminationMessage.BucketRevisions(digest.getBucketsList(), revisionLines(digest)));
            case NEWER_LINES -> Optional.of(new DisseminationMessage.NewerRevisions(revisionLines(digest)));
            case STEP_UNSPECIFIED, UNRECOGNIZED -> Optional.empty();
        };
    }

    private static DocumentDigest.Builder step(DocumentDigest.Step step) {
        return DocumentDigest.newBuilder().setStep(step);
    }

    private static DocumentDigest.Builder equal(DisseminationMessage.Equal equal) {
        DocumentDigest.Builder digest = step(DocumentDigest.Step.EQUAL).setNumber(equal.comparisonId());
        // Rounded up, so that the peer never takes a table for more recent than it is.
        equal.confirmedAge().ifPresent(age -> digest.setConfirmedAgeMilliseconds(age.toMillis() + 1));
        return digest;
    }

    private static Optional<Duration> confirmedAge(DocumentDigest digest) {
        return digest.hasConfirmedAgeMilliseconds()
                ? Optional.of(Duration.ofMillis(digest.getConfirmedAgeMilliseconds()))
                : Optional.empty();
    }

    private static DocumentUpdate update(DocumentRevision document) {
        DeflatedContent content = DeflatedContent.of(document.content().getBytes(StandardCharsets.UTF_8));
        return DocumentUpdate.newBuilder()
                .setTeam(document.key().team())
                .setService(document.key().service())
                .setRevision(document.revision())
                .setDocument(content.bytes())
                .setInflatedLength(content.inflatedLength())
                .build();
    }

    private static Optional<DocumentRevision> document(DocumentUpdate update) {
        DocumentKey key = new DocumentKey(update.getTeam(), update.getService());
        return new DeflatedContent(update.getDocument(), update.getInflatedLength())
                .inflate()
                .map(uncompressed -> new DocumentRevision(
                        key, update.getRevision(), new String(uncompressed, StandardCharsets.UTF_8)));
    }

    private static List<DocumentDigest.Line> lines(List<RevisionSummary> lines) {
        return lines.stream()
                .map(line -> DocumentDigest.Line.newBuilder()
                        .setTeam(line.key().team())
                        .setService(line.key().service())
                        .setRevision(line.revision())
                        .setContentHash(line.contentHash())
                        .build())
                .toList();
    }

    private static List<RevisionSummary> revisionLines(DocumentDigest digest) {
        return digest.getLinesList().stream()
                .map(line -> new RevisionSummary(
                        new DocumentKey(line.getTeam(), line.getService()), line.getRevision(), line.getContentHash()))
                .toList();
    }
}
