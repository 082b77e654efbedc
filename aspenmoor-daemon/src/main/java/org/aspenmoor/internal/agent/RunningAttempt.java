package org.aspenmoor.internal.agent;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.link.Link;
import org.aspenmoor.internal.stream.AttemptChecksum;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Frame;
import org.aspenmoor.internal.wire.v1.Last;

/**
 * An attempt that is running.
 *
 * <p>Chunks are sent only against credit. Without credit, a caller that reads slowly would make the entry, and then
 * this process, hold the complete output of the engine in memory, until the process is killed for its memory use. With
 * credit, only the pieces of one read from the backend server are held, and the next read waits.
 */
final class RunningAttempt {
    private final AttemptKey key;
    private final Link link;
    private final BackendCall call;
    private final AttemptChecksum checksum = new AttemptChecksum();
    private final Deque<AnswerPiece> pending = new ArrayDeque<>();
    private int credit;
    private Optional<CallEnd> end = Optional.empty();

    RunningAttempt(AttemptKey key, Link link, BackendCall call, int credit) {
        this.key = key;
        this.link = link;
        this.call = call;
        this.credit = credit;
    }

    Link link() {
        return link;
    }

    BackendCall call() {
        return call;
    }

    Optional<CallEnd> end() {
        return end;
    }

    /** Adds pieces received from the backend server and sends what the credit allows. */
    void addPieces(List<AnswerPiece> pieces) {
        pending.addAll(pieces);
        sendPending();
        requestMoreIfEmpty();
    }

    /** Adds credit received from the entry, in chunks, and sends what it allows. */
    void addCredit(int chunks) {
        credit += chunks;
        boolean wasHeldBack = !pending.isEmpty();
        sendPending();
        if (wasHeldBack) {
            requestMoreIfEmpty();
        }
    }

    /** Records how the call to the backend server ended. */
    void recordEnd(CallEnd callEnd) {
        end = Optional.of(callEnd);
    }

    /** Returns the last frame once the call has ended and every piece has been sent. */
    Optional<Frame> lastFrameIfDone() {
        if (!pending.isEmpty()) {
            return Optional.empty();
        }
        return end.map(this::lastFrame);
    }

    private void requestMoreIfEmpty() {
        if (pending.isEmpty() && end.isEmpty()) {
            call.requestMore();
        }
    }

    private void sendPending() {
        while (credit > 0 && !pending.isEmpty()) {
            AnswerPiece piece = pending.removeFirst();
            credit--;
            link.send(Frame.newBuilder()
                    .setChunk(Chunk.newBuilder()
                            .setId(key.toWire())
                            .setSequence(checksum.add(piece.data()))
                            .setData(ByteString.copyFrom(piece.data()))
                            .setTokens(piece.tokens()))
                    .build());
        }
    }

    private Frame lastFrame(CallEnd callEnd) {
        Last.Builder last =
                Last.newBuilder().setId(key.toWire()).setCount(checksum.count()).setChecksum(checksum.value());
        switch (callEnd) {
            case CallEnd.Complete complete -> last.setEnd(Last.End.COMPLETE).setFinishReason(complete.finishReason());
            case CallEnd.Failed failed -> last.setEnd(Last.End.FAILED).setDetail(failed.detail());
            case CallEnd.NeverStarted neverStarted ->
                last.setEnd(Last.End.FAILED).setDetail(neverStarted.detail());
        }
        return Frame.newBuilder().setLast(last).build();
    }
}
