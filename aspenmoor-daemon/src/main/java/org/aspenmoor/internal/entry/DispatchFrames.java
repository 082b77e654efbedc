package org.aspenmoor.internal.entry;

import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import org.aspenmoor.internal.document.ModelDeclaration;
import org.aspenmoor.internal.wire.AttemptIds;
import org.aspenmoor.internal.wire.v1.AttemptId;
import org.aspenmoor.internal.wire.v1.Cancel;
import org.aspenmoor.internal.wire.v1.Credit;
import org.aspenmoor.internal.wire.v1.Dispatch;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Generation;
import org.aspenmoor.internal.wire.v1.PlainCall;

/** Builds the frames that an entry sends to agents. */
final class DispatchFrames {
    private DispatchFrames() {}

    static Frame dispatch(ActiveRequest request, int attempt, int chunkCredit, long now) {
        Dispatch.Builder dispatch = Dispatch.newBuilder()
                .setId(AttemptIds.of(request.id().high(), request.id().low(), attempt))
                .setTeam(request.document().team())
                .setService(request.document().service())
                .setKind(request.kind().name())
                .setDocumentRevision(request.document().revision())
                .setDeadlineMilliseconds(remainingMilliseconds(request, now))
                .setIdempotent(request.kind().idempotent())
                .setWeight(request.kind().weight())
                .setChunkCredit(chunkCredit);
        switch (request.incoming().work()) {
            case CallerWork.Generation generation -> dispatch.setGeneration(generation(request, generation.request()));
            case CallerWork.PlainCall call -> dispatch.setPlainCall(plainCall(call));
        }
        return Frame.newBuilder().setDispatch(dispatch).build();
    }

    static Frame cancel(ActiveRequest request) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder().setId(currentId(request)))
                .build();
    }

    static Frame credit(ActiveRequest request, int chunks) {
        return Frame.newBuilder()
                .setCredit(Credit.newBuilder().setId(currentId(request)).setChunks(chunks))
                .build();
    }

    private static AttemptId currentId(ActiveRequest request) {
        return AttemptIds.of(
                request.id().high(), request.id().low(), request.assembly().attempt());
    }

    // A partly delivered stream is completed even past its deadline, so at least 1 ms is sent: agents refuse a dispatch
    // with no time remaining.
    private static int remainingMilliseconds(ActiveRequest request, long now) {
        long remaining = TimeUnit.NANOSECONDS.toMillis(request.deadlineAt() - now);
        return (int) Math.clamp(remaining, request.hasDeliveredTokens() ? 1 : 0, Integer.MAX_VALUE);
    }

    private static Generation generation(ActiveRequest request, CompletionRequest completion) {
        String version = request.document()
                .model(completion.model())
                .map(ModelDeclaration::version)
                .orElse("");
        return Generation.newBuilder()
                .setModel(completion.model())
                .setVersion(version)
                .setAdapter(completion.adapter().orElse(""))
                .setRequest(ByteString.copyFrom(completion.json()))
                .setChat(completion.chat())
                .setDeliveredTokens(request.assembly().deliveredTokens())
                .setDeliveredText(request.deliveredText())
                .setPromptTokens(completion.promptTokens())
                .setMostTokens(maxTokens(request, completion))
                .build();
    }

    private static int maxTokens(ActiveRequest request, CompletionRequest completion) {
        int kindLimit = request.kind().longestOutputTokens();
        return completion
                .maxTokens()
                .map(requested -> Math.min(requested, kindLimit))
                .orElse(kindLimit);
    }

    private static PlainCall plainCall(CallerWork.PlainCall call) {
        return PlainCall.newBuilder()
                .setMethod(call.method())
                .setPath(call.path())
                .addAllHeaders(call.headers())
                .setBody(ByteString.copyFrom(call.body()))
                .build();
    }
}
