package org.aspenmoor.internal.bench.policy.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.KindMatch;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.LocatedJsonParser;
import org.aspenmoor.internal.routing.EngineSpeed;

/** Reads a fleet file: JSON with comments. */
public final class FleetReader {
    private static final double MOST = 1_000_000_000;
    private static final int MOST_COUNT = 1_000_000;

    private final Findings findings = new Findings();

    /** Reads a file; all mistakes are reported together. */
    public Fleet read(Path file) throws AspenmoorException {
        Optional<Fleet> fleet = new LocatedJsonParser(file.toString(), findings)
                .parseObject(text(file))
                .map(object -> readFleet(new FieldReader(object, findings)));
        findings.throwIfAny(file.toString());
        return fleet.orElseThrow();
    }

    private static String text(Path file) throws AspenmoorException {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new AspenmoorException(
                    "The fleet could not be read: " + unreadable.getMessage() + ".",
                    file.toString(),
                    "Check the path, or name a house: seitkali or hojas.",
                    unreadable);
        }
    }

    private Fleet readFleet(FieldReader reader) {
        Fleet fleet = new Fleet(
                reader.requiredText("house"),
                readKinds(reader),
                reader.decimal("roleChangePrice", 0, MOST, 0),
                readEngines(reader),
                reader.integer("entries", 1, MOST_COUNT, 1),
                reader.object("parameters").map(this::readParameters).orElseGet(EngineParameters::usual));
        reader.rejectUnknownFields();
        if (fleet.kinds().isEmpty() || fleet.engines().isEmpty()) {
            findings.add(reader.location(), "The fleet has no kinds or no engines.", "Add at least one of each.");
        }
        return fleet;
    }

    private static List<BenchKind> readKinds(FieldReader reader) {
        List<BenchKind> kinds = new ArrayList<>();
        for (FieldReader kind : reader.objects("kinds")) {
            RequestKind declaration = new RequestKind(
                    kind.requiredText("name"),
                    new KindMatch(
                            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty()),
                    kind.decimal("weight", 0, MOST, 1),
                    kind.seconds("deadlineSeconds", 0.05, 3600, Duration.ofSeconds(30)),
                    true,
                    kind.integer("longestOutputTokens", 1, MOST_COUNT, 1024));
            kinds.add(new BenchKind(
                    declaration,
                    kind.integer("typicalPromptTokens", 1, MOST_COUNT, 500),
                    kind.integer("typicalOutputTokens", 1, MOST_COUNT, 200)));
            kind.rejectUnknownFields();
        }
        return kinds;
    }

    private static List<FleetEngine> readEngines(FieldReader reader) {
        List<FleetEngine> engines = new ArrayList<>();
        for (FieldReader engine : reader.objects("engines")) {
            engines.add(new FleetEngine(engine.requiredText("name"), engine.requiredText("dataCentre")));
            engine.rejectUnknownFields();
        }
        return engines;
    }

    private EngineParameters readParameters(FieldReader reader) {
        EngineParameters usual = EngineParameters.usual();
        EngineSpeed speed = usual.speed();
        EngineParameters parameters = new EngineParameters(
                new EngineSpeed(
                        reader.decimal("prefillTokensPerSecond", 1, MOST, speed.prefillTokensPerSecond()),
                        reader.decimal("decodeStepSeconds", 0, MOST, speed.decodeStepSeconds()),
                        reader.decimal("decodeStepSecondsPerSequence", 0, MOST, speed.decodeStepSecondsPerSequence()),
                        reader.decimal("mixingSlowdown", 0, MOST, speed.mixingSlowdown()),
                        reader.integer("chunkTokens", 1, MOST_COUNT, speed.chunkTokens()),
                        reader.decimal("transferSeconds", 0, MOST, speed.transferSeconds()),
                        reader.decimal("transferTokensPerSecond", 1, MOST, speed.transferTokensPerSecond())),
                reader.integer("mostSequences", 1, MOST_COUNT, usual.mostSequences()),
                reader.integer("cachePieces", 1, MOST_COUNT, usual.cachePieces()),
                reader.integer("pieceTokens", 1, MOST_COUNT, usual.pieceTokens()),
                reader.decimal("roleChangeSeconds", 0, MOST, usual.roleChangeSeconds()),
                reader.decimal("reportIntervalSeconds", 0.01, MOST, usual.reportIntervalSeconds()),
                reader.decimal("reportLagSeconds", 0, MOST, usual.reportLagSeconds()),
                reader.decimal("cacheEventLossShare", 0, 1, usual.cacheEventLossShare()));
        reader.rejectUnknownFields();
        return parameters;
    }
}
