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

/** Reads a fleet file, which is JSON with comments. */
public final class FleetReader {
    private static final double MAX_VALUE = 1_000_000_000;
    private static final int MAX_COUNT = 1_000_000;

    private final Findings findings = new Findings();

    /** Reads a file. All mistakes in it are reported in one exception. */
    public Fleet read(Path file) throws AspenmoorException {
        Optional<Fleet> fleet = new LocatedJsonParser(file.toString(), findings)
                .parseObject(readText(file))
                .map(object -> readFleet(new FieldReader(object, findings)));
        findings.throwIfAny(file.toString());
        return fleet.orElseThrow();
    }

    private static String readText(Path file) throws AspenmoorException {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new AspenmoorException(
                    "Could not read the fleet file: " + exception.getMessage() + ".",
                    file.toString(),
                    "Check the path, or name a built-in fleet: seitkali or hojas.",
                    exception);
        }
    }

    private Fleet readFleet(FieldReader reader) {
        Fleet fleet = new Fleet(
                reader.requiredText("house"),
                readKinds(reader),
                reader.decimal("roleChangePrice", 0, MAX_VALUE, 0),
                readEngines(reader),
                reader.integer("entries", 1, MAX_COUNT, 1),
                reader.object("parameters").map(this::readParameters).orElseGet(EngineParameters::defaults));
        reader.rejectUnknownFields();
        if (fleet.kinds().isEmpty() || fleet.engines().isEmpty()) {
            findings.add(reader.location(), "The fleet has no kinds or no engines.", "Add at least one of each.");
        }
        return fleet;
    }

    private static List<TraceKind> readKinds(FieldReader reader) {
        List<TraceKind> kinds = new ArrayList<>();
        for (FieldReader kind : reader.objects("kinds")) {
            RequestKind declaration = new RequestKind(
                    kind.requiredText("name"),
                    new KindMatch(
                            Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty()),
                    kind.decimal("weight", 0, MAX_VALUE, 1),
                    kind.seconds("deadlineSeconds", 0.05, 3600, Duration.ofSeconds(30)),
                    true,
                    kind.integer("longestOutputTokens", 1, MAX_COUNT, 1024));
            kinds.add(new TraceKind(
                    declaration,
                    kind.integer("typicalPromptTokens", 1, MAX_COUNT, 500),
                    kind.integer("typicalOutputTokens", 1, MAX_COUNT, 200)));
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
        EngineParameters defaults = EngineParameters.defaults();
        EngineSpeed speed = defaults.speed();
        EngineParameters parameters = new EngineParameters(
                new EngineSpeed(
                        reader.decimal("prefillTokensPerSecond", 1, MAX_VALUE, speed.prefillTokensPerSecond()),
                        reader.decimal("decodeStepSeconds", 0, MAX_VALUE, speed.decodeStepSeconds()),
                        reader.decimal(
                                "decodeStepSecondsPerSequence", 0, MAX_VALUE, speed.decodeStepSecondsPerSequence()),
                        reader.decimal("mixingSlowdown", 0, MAX_VALUE, speed.mixingSlowdown()),
                        reader.integer("chunkTokens", 1, MAX_COUNT, speed.chunkTokens()),
                        reader.decimal("transferSeconds", 0, MAX_VALUE, speed.transferSeconds()),
                        reader.decimal("transferTokensPerSecond", 1, MAX_VALUE, speed.transferTokensPerSecond())),
                reader.integer("mostSequences", 1, MAX_COUNT, defaults.maxSequences()),
                reader.integer("cachePieces", 1, MAX_COUNT, defaults.cachePieces()),
                reader.integer("pieceTokens", 1, MAX_COUNT, defaults.pieceTokens()),
                reader.decimal("roleChangeSeconds", 0, MAX_VALUE, defaults.roleChangeSeconds()),
                reader.decimal("reportIntervalSeconds", 0.01, MAX_VALUE, defaults.reportIntervalSeconds()),
                reader.decimal("reportLagSeconds", 0, MAX_VALUE, defaults.reportLagSeconds()),
                reader.decimal("cacheEventLossShare", 0, 1, defaults.cacheEventLossFraction()));
        reader.rejectUnknownFields();
        return parameters;
    }
}
