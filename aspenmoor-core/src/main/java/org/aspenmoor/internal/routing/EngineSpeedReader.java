package org.aspenmoor.internal.routing;

import java.util.Optional;
import org.aspenmoor.internal.json.FieldReader;

/** Reads the assumed speed of engines from settings. */
public final class EngineSpeedReader {
    private static final double MAX_TOKENS_PER_SECOND = 1e8;
    private static final double MAX_SLOWDOWN = 10;
    private static final int MAX_CHUNK_TOKENS = 65_536;

    private EngineSpeedReader() {}

    /** Reads the field {@code engineSpeed}; missing values are taken from {@link EngineSpeed#defaults}. */
    public static EngineSpeed read(FieldReader reader) {
        EngineSpeed defaults = EngineSpeed.defaults();
        Optional<FieldReader> speed = reader.object("engineSpeed");
        if (speed.isEmpty()) {
            return defaults;
        }
        FieldReader fields = speed.get();
        EngineSpeed read = new EngineSpeed(
                fields.decimal("prefillTokensPerSecond", 1, MAX_TOKENS_PER_SECOND, defaults.prefillTokensPerSecond()),
                fields.decimal("decodeStepSeconds", 0, 1, defaults.decodeStepSeconds()),
                fields.decimal("decodeStepSecondsPerSequence", 0, 1, defaults.decodeStepSecondsPerSequence()),
                fields.decimal("mixingSlowdown", 0, MAX_SLOWDOWN, defaults.mixingSlowdown()),
                fields.integer("chunkTokens", 1, MAX_CHUNK_TOKENS, defaults.chunkTokens()),
                fields.decimal("transferSeconds", 0, 1, defaults.transferSeconds()),
                fields.decimal(
                        "transferTokensPerSecond", 1, MAX_TOKENS_PER_SECOND, defaults.transferTokensPerSecond()));
        fields.rejectUnknownFields();
        return read;
    }
}
