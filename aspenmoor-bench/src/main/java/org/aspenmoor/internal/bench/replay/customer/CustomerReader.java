package org.aspenmoor.internal.bench.replay.customer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.json.FieldReader;
import org.aspenmoor.internal.json.LocatedJsonParser;

/** Reads a customer's file, which is JSON with comments. */
public final class CustomerReader {
    private static final double MAX_VALUE = 1e9;
    private static final int MAX_COUNT = 1_000_000_000;
    private static final double MAX_SECONDS = 3600;

    private final Findings findings = new Findings();

    /** Reads a file. All mistakes in it are reported in one exception. */
    public Customer read(Path file) throws AspenmoorException {
        Optional<Customer> customer = new LocatedJsonParser(file.toString(), findings)
                .parseObject(readText(file))
                .map(object -> readCustomer(new FieldReader(object, findings)));
        findings.throwIfAny(file.toString());
        return customer.orElseThrow();
    }

    private static String readText(Path file) throws AspenmoorException {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new AspenmoorException(
                    "Could not read the customer file: " + exception.getMessage() + ".",
                    file.toString(),
                    "Check the path; customer files are in aspenmoor-bench/customers.",
                    exception);
        }
    }

    private Customer readCustomer(FieldReader reader) {
        Customer customer = new Customer(
                reader.requiredText("customer"),
                reader.integer("entries", 1, MAX_COUNT, 1),
                reader.integer("dataCentres", 1, MAX_COUNT, 1),
                reader.object("engines").map(CustomerReader::readEngines).orElseThrow(),
                readKinds(reader),
                readDays(reader));
        reader.rejectUnknownFields();
        return customer;
    }

    private static EngineProfile readEngines(FieldReader reader) {
        EngineProfile profile = new EngineProfile(
                reader.integer("count", 1, MAX_COUNT, 1),
                reader.integer("slots", 1, MAX_COUNT, 1),
                reader.integer("queue", 0, MAX_COUNT, 0),
                reader.integer("cacheTokens", 1, MAX_COUNT, 1),
                reader.decimal("stepSeconds", 0, MAX_VALUE, 0),
                reader.decimal("stepSecondsPerSequence", 0, MAX_VALUE, 0),
                reader.decimal("stepSecondsPerThousandTokens", 0, MAX_VALUE, 0),
                reader.decimal("promptTokensPerSecond", 1, MAX_VALUE, 1),
                reader.decimal("secondsPerMegapair", 0, MAX_VALUE, 0),
                reader.decimal("firstSeconds", 0, MAX_VALUE, 0),
                reader.decimal("tokensPerEvent", 1, MAX_VALUE, 1),
                reader.integer("chunkTokens", 1, MAX_COUNT, 1),
                reader.decimal("transferSeconds", 0, MAX_VALUE, 0),
                reader.decimal("transferTokensPerSecond", 1, MAX_VALUE, 1),
                reader.decimal("roleChangeSeconds", 0, MAX_VALUE, 0),
                reader.texts("slownesses").stream().map(Double::valueOf).toList());
        reader.rejectUnknownFields();
        return profile;
    }

    private static List<RequestProfile> readKinds(FieldReader reader) {
        List<RequestProfile> kinds = new ArrayList<>();
        for (FieldReader kind : reader.objects("kinds")) {
            kinds.add(new RequestProfile(
                    kind.requiredText("name"),
                    kind.decimal("perSecond", 0, MAX_VALUE, 0),
                    seconds(kind, "objectiveSeconds"),
                    seconds(kind, "deadlineSeconds"),
                    seconds(kind, "longestPauseSeconds"),
                    kind.decimal("worth", 0, MAX_VALUE, 1),
                    kind.decimal("lateWorth", 0, MAX_VALUE, 0),
                    kind.integer("priority", 0, MAX_COUNT, 0),
                    kind.bool("resumable", false),
                    readDistribution(kind, "events"),
                    readDistribution(kind, "ownTokens"),
                    readSharedParts(kind)));
            kind.rejectUnknownFields();
        }
        return kinds;
    }

    private static Duration seconds(FieldReader reader, String name) {
        return reader.seconds(name, 0, MAX_SECONDS, Duration.ZERO);
    }

    private static LogNormalDistribution readDistribution(FieldReader reader, String name) {
        FieldReader field = reader.object(name).orElseThrow();
        LogNormalDistribution distribution = distribution(field);
        field.rejectUnknownFields();
        return distribution;
    }

    private static LogNormalDistribution distribution(FieldReader field) {
        return new LogNormalDistribution(
                field.decimal("mean", 0, MAX_VALUE, 1),
                field.decimal("spread", 0, MAX_VALUE, 0),
                field.decimal("most", 0, MAX_VALUE, MAX_VALUE));
    }

    private static List<SharedPromptPart> readSharedParts(FieldReader kind) {
        List<SharedPromptPart> parts = new ArrayList<>();
        for (FieldReader part : kind.objects("shared")) {
            parts.add(new SharedPromptPart(distribution(part), part.integer("identities", 1, MAX_COUNT, 1)));
            part.rejectUnknownFields();
        }
        return parts;
    }

    private static List<LoadDay> readDays(FieldReader reader) {
        List<LoadDay> days = new ArrayList<>();
        for (FieldReader day : reader.objects("days")) {
            List<LoadChange> changes = new ArrayList<>();
            day.objects("changes").forEach(change -> changes.add(readChange(change)));
            day.objects("swings").forEach(swing -> changes.addAll(readSwings(swing)));
            List<EngineOutage> outages = new ArrayList<>();
            day.objects("losses").forEach(outage -> outages.add(readOutage(outage)));
            List<StoreOutage> storeOutages = new ArrayList<>();
            day.objects("storeCuts").forEach(outage -> storeOutages.add(readStoreOutage(outage)));
            days.add(new LoadDay(
                    day.requiredText("name"),
                    day.decimal("seconds", 1, MAX_SECONDS, 34),
                    day.decimal("load", 0, MAX_VALUE, 1),
                    changes,
                    outages,
                    storeOutages));
            day.rejectUnknownFields();
        }
        return days;
    }

    private static LoadChange readChange(FieldReader reader) {
        LoadChange change = new LoadChange(
                reader.requiredText("kind"),
                reader.decimal("fromSeconds", 0, MAX_VALUE, 0),
                reader.decimal("seconds", 0, MAX_VALUE, 0),
                reader.decimal("times", 0, MAX_VALUE, 1));
        reader.rejectUnknownFields();
        return change;
    }

    /** Alternates two kinds: in each phase one kind has the high factor and the other the low one. */
    private static List<LoadChange> readSwings(FieldReader reader) {
        String firstKind = reader.requiredText("first");
        String secondKind = reader.requiredText("second");
        double startSeconds = reader.decimal("fromSeconds", 0, MAX_VALUE, 0);
        double endSeconds = reader.decimal("untilSeconds", 0, MAX_VALUE, 0);
        double phaseSeconds = reader.decimal("eachSeconds", 0.1, MAX_VALUE, 1);
        double highFactor = reader.decimal("high", 0, MAX_VALUE, 1);
        double lowFactor = reader.decimal("low", 0, MAX_VALUE, 1);
        reader.rejectUnknownFields();
        List<LoadChange> changes = new ArrayList<>();
        boolean firstIsHigh = true;
        for (double phaseStart = startSeconds; phaseStart < endSeconds; phaseStart += phaseSeconds) {
            double phaseLength = Math.min(phaseSeconds, endSeconds - phaseStart);
            changes.add(new LoadChange(firstKind, phaseStart, phaseLength, firstIsHigh ? highFactor : lowFactor));
            changes.add(new LoadChange(secondKind, phaseStart, phaseLength, firstIsHigh ? lowFactor : highFactor));
            firstIsHigh = !firstIsHigh;
        }
        return changes;
    }

    private static EngineOutage readOutage(FieldReader reader) {
        EngineOutage outage = new EngineOutage(
                reader.integer("engine", 0, MAX_COUNT, 0),
                reader.decimal("fromSeconds", 0, MAX_VALUE, 0),
                reader.decimal("seconds", 0, MAX_VALUE, MAX_SECONDS));
        reader.rejectUnknownFields();
        return outage;
    }

    private static StoreOutage readStoreOutage(FieldReader reader) {
        StoreOutage outage = new StoreOutage(
                reader.integer("entry", 0, MAX_COUNT, 0),
                reader.decimal("fromSeconds", 0, MAX_VALUE, 0),
                reader.decimal("seconds", 0, MAX_VALUE, MAX_SECONDS));
        reader.rejectUnknownFields();
        return outage;
    }
}
