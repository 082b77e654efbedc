package org.aspenmoor.internal.bench.soak;

import org.aspenmoor.internal.stream.AttemptChecksum;

/** One attempt while an agent carries it out. */
final class StreamAttempt {
    private static final int MOST_TOKENS_OF_CHUNK = 3;

    private final StreamRequest request;
    private final int number;
    private final EntryProcess entry;
    private final AttemptChecksum checksum = new AttemptChecksum();
    private int position;

    StreamAttempt(StreamRequest request, int number, int deliveredTokens, EntryProcess entry) {
        this.request = request;
        this.number = number;
        this.position = deliveredTokens;
        this.entry = entry;
    }

    EntryProcess entry() {
        return entry;
    }

    boolean finished() {
        return position >= request.tokens();
    }

    StreamFrame next() {
        if (finished()) {
            return new StreamFrame.End(request.id(), number, checksum.count(), checksum.value());
        }
        int count = Math.min(MOST_TOKENS_OF_CHUNK, request.tokens() - position);
        byte[] data = request.tokens(position, count);
        position += count;
        return new StreamFrame.Piece(request.id(), number, checksum.add(data), data);
    }
}
