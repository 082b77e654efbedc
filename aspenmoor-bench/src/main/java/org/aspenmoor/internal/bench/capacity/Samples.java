package org.aspenmoor.internal.bench.capacity;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.daemon.dissemination.DisseminationFrames;
import org.aspenmoor.internal.dissemination.DisseminationMessage;
import org.aspenmoor.internal.dissemination.DocumentKey;
import org.aspenmoor.internal.dissemination.DocumentRevision;
import org.aspenmoor.internal.document.AdapterDeclaration;
import org.aspenmoor.internal.document.BackendDeclaration;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.document.KindMatch;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.wire.AttemptIds;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Credit;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Generation;
import org.aspenmoor.internal.wire.v1.Last;
import org.aspenmoor.internal.wire.v1.LoadReport;
import org.aspenmoor.internal.wire.v1.RequestCounts;
import org.aspenmoor.internal.wire.v1.Started;

/** Documents and frames of the usual size. */
final class Samples {
    static final int ENGINES_PER_DOCUMENT = 8;
    static final int PROMPT_BYTES = 8192;
    static final int TOKEN_BYTES = 5;
    private static final int KINDS = 3;
    private static final long ANY_NUMBER = 0x0123456789abcdefL;
    private static final String HASH = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

    private Samples() {}

    /** Returns a document with two models, three kinds of request and as many engines as asked for. */
    static ServiceDocument document(int number, long revision, int engines) {
        List<ModelDeclaration> models = List.of(
                new ModelDeclaration("model-" + number % Aim.MODELS, "3.1", List.of()),
                new ModelDeclaration(
                        "model-" + (number + 1) % Aim.MODELS,
                        "2.0",
                        List.of(new AdapterDeclaration("house-style-" + number, "7"))));
        List<RequestKind> kinds = new ArrayList<>();
        for (int kind = 0; kind < KINDS; kind++) {
            KindMatch match = new KindMatch(
                    Optional.of("model-" + number % Aim.MODELS),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.empty(),
                    Optional.of(2000 * (kind + 1)));
            kinds.add(new RequestKind("kind-" + kind, match, kind + 1.0, Duration.ofSeconds(8), true, 400));
        }
        List<BackendDeclaration> backends = new ArrayList<>();
        for (int engine = 0; engine < engines; engine++) {
            backends.add(new BackendDeclaration.EngineDeclaration(
                    "engine-" + number + "-" + engine, "almaty-" + engine % Aim.DATA_CENTRES, engine % 2 == 0));
        }
        return new ServiceDocument(
                "team-" + number, "drafting", revision, models, kinds, 4.0, List.of(HASH, HASH), backends);
    }

    static DocumentRevision knownDocument(int number, long revision) {
        return new DocumentRevision(
                new DocumentKey("team-" + number, "drafting"),
                revision,
                DocumentWriter.write(document(number, revision, ENGINES_PER_DOCUMENT)));
    }

    static Frame dispatch() {
        return Frame.newBuilder()
                .setDispatch(Dispatch.newBuilder()
                        .setId(AttemptIds.of(ANY_NUMBER, ANY_NUMBER, 1))
                        .setTeam("team-1234")
                        .setService("drafting")
                        .setKind("kind-1")
                        .setDocumentRevision(1234)
                        .setDeadlineMilliseconds(8000)
                        .setIdempotent(true)
                        .setWeight(2.0)
                        .setChunkCredit(64)
                        .setGeneration(Generation.newBuilder()
                                .setModel("model-7")
                                .setVersion("3.1")
                                .setRequest(ByteString.copyFrom(new byte[PROMPT_BYTES]))
                                .setPromptTokens(PROMPT_BYTES / 4)))
                .build();
    }

    static Frame chunk(int sequence) {
        return Frame.newBuilder()
                .setChunk(Chunk.newBuilder()
                        .setId(AttemptIds.of(ANY_NUMBER, ANY_NUMBER, 1))
                        .setSequence(sequence)
                        .setData(ByteString.copyFrom(new byte[TOKEN_BYTES]))
                        .setTokens(1))
                .build();
    }

    static Frame started() {
        return Frame.newBuilder()
                .setStarted(Started.newBuilder()
                        .setId(AttemptIds.of(ANY_NUMBER, ANY_NUMBER, 1))
                        .setStatus(200))
                .build();
    }

    static Frame last() {
        return Frame.newBuilder()
                .setLast(Last.newBuilder()
                        .setId(AttemptIds.of(ANY_NUMBER, ANY_NUMBER, 1))
                        .setEnd(Last.End.COMPLETE)
                        .setCount(306)
                        .setChecksum(0x12345678)
                        .setFinishReason("stop"))
                .build();
    }

    static Frame credit() {
        return Frame.newBuilder()
                .setCredit(Credit.newBuilder()
                        .setId(AttemptIds.of(ANY_NUMBER, ANY_NUMBER, 1))
                        .setChunks(32))
                .build();
    }

    static Frame loadReport(long sequence) {
        return Frame.newBuilder()
                .setLoadReport(LoadReport.newBuilder()
                        .setBackend("almaty-3-engine-117")
                        .setSequence(sequence)
                        .setRole("WHOLE")
                        .setReady(true)
                        .setQueuedPrefillTokens(5200)
                        .setRunningSequences(29)
                        .setMostSequences(64)
                        .setFreeCachePieces(700)
                        .setAllCachePieces(2000)
                        .addLoaded("model-7@3.1")
                        .addLoaded("model-7:house-style-1234@7"))
                .build();
    }

    static Frame requestCounts() {
        RequestCounts.Builder counts = RequestCounts.newBuilder()
                .setTeam("team-1234")
                .setService("drafting")
                .setDataCentre("almaty-3")
                .setSequence(5000);
        for (int kind = 0; kind < KINDS; kind++) {
            counts.addLines(RequestCounts.Line.newBuilder()
                    .setKind("kind-" + kind)
                    .setRequests(12)
                    .setPromptTokens(24_000)
                    .setOutputTokens(3600));
        }
        return Frame.newBuilder().setRequestCounts(counts).build();
    }

    static Frame documentUpdate(int engines) {
        DocumentRevision document = new DocumentRevision(
                new DocumentKey("team-1234", "drafting"), 17, DocumentWriter.write(document(1234, 17, engines)));
        return DisseminationFrames.toFrame(new DisseminationMessage.Update(document));
    }
}
