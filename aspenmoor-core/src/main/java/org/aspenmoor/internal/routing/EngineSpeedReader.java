package org.aspenmoor.internal.routing;

import java.util.Optional;
import org.aspenmoor.internal.json.FieldReader;

/** Reads the speed of engines from settings. */
public final class EngineSpeedReader {
    private static final double MOST_TOKENS_PER_SECOND = 1e8;
    private static final double MOST_SLOWDOWN = 10;
    private static final int MOST_CHUNK_TOKENS = 65_536;

    private EngineSpeedReader() {}

    /** Reads the field {@code engineSpeed}; what is not given is as usual. */
    public static EngineSpeed read(FieldReader reader) {
        EngineSpeed usual = EngineSpeed.usual();
        Optional<FieldReader> speed = reader.object("engineSpeed");
        if (speed.isEmpty()) {
            return usual;
        }
        FieldReader fields = speed.get();
        EngineSpeed read = new EngineSpeed(
                fields.decimal("prefillTokensPerSecond", 1, MOST_TOKENS_PER_SECOND, usual.prefillTokensPerSecond()),
                fields.decimal("decodeStepSeconds", 0, 1, usual.decodeStepSeconds()),
                fields.decimal("decodeStepSecondsPerSequence", 0, 1, usual.decodeStepSecondsPerSequence()),
                fields.decimal("mixingSlowdown", 0, MOST_SLOWDOWN, usual.mixingSlowdown()),
                fields.integer("chunkTokens", 1, MOST_CHUNK_TOKENS, usual.chunkTokens()),
                fields.decimal("transferSeconds", 0, 1, usual.transferSeconds()),
                fields.decimal("transferTokensPerSecond", 1, MOST_TOKENS_PER_SECOND, usual.transferTokensPerSecond()));
        fields.rejectUnknownFields();
        return read;
    }
}
