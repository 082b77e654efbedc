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

/** Reads a customer's file: JSON with comments. */
public final class CustomerReader {
    private static final double MOST = 1e9;
    private static final int MOST_COUNT = 1_000_000_000;
    private static final double MOST_SECONDS = 3600;

    private final Findings findings = new Findings();

    /** Reads a file; all mistakes are reported together. */
    public Customer read(Path file) throws AspenmoorException {
        Optional<Customer> customer = new LocatedJsonParser(file.toString(), findings)
                .parseObject(text(file))
                .map(object -> readCustomer(new FieldReader(object, findings)));
        findings.throwIfAny(file.toString());
        return customer.orElseThrow();
    }

    private static String text(Path file) throws AspenmoorException {
        try {
            return Files.readString(file);
        } catch (IOException unreadable) {
            throw new AspenmoorException(
                    "The customer could not be read: " + unreadable.getMessage() + ".",
                    file.toString(),
                    "Check the path; files of customers lie in aspenmoor-bench/customers.",
                    unreadable);
        }
    }

    private Customer readCustomer(FieldReader reader) {
        Customer customer = new Customer(
                reader.requiredText("customer"),
                reader.integer("entries", 1, MOST_COUNT, 1),
                reader.integer("dataCentres", 1, MOST_COUNT, 1),
                reader.object("engines").map(CustomerReader::readEngines).orElseThrow(),
                readKinds(reader),
                readDays(reader));
        reader.rejectUnknownFields();
        return customer;
    }

    private static EngineFigures readEngines(FieldReader reader) {
        EngineFigures figures = new EngineFigures(
                reader.integer("count", 1, MOST_COUNT, 1),
                reader.integer("slots", 1, MOST_COUNT, 1),
                reader.integer("queue", 0, MOST_COUNT, 0),
                reader.integer("cacheTokens", 1, MOST_COUNT, 1),
                reader.decimal("stepSeconds", 0, MOST, 0),
                reader.decimal("stepSecondsPerSequence", 0, MOST, 0),
                reader.decimal("stepSecondsPerThousandTokens", 0, MOST, 0),
                reader.decimal("promptTokensPerSecond", 1, MOST, 1),
                reader.decimal("secondsPerMegapair", 0, MOST, 0),
                reader.decimal("firstSeconds", 0, MOST, 0),
                reader.decimal("tokensPerEvent", 1, MOST, 1),
                reader.integer("chunkTokens", 1, MOST_COUNT, 1),
                reader.decimal("transferSeconds", 0, MOST, 0),
                reader.decimal("transferTokensPerSecond", 1, MOST, 1),
                reader.decimal("roleChangeSeconds", 0, MOST, 0),
                reader.texts("slownesses").stream().map(Double::valueOf).toList());
        reader.rejectUnknownFields();
        return figures;
    }

    private static List<ServedKind> readKinds(FieldReader reader) {
        List<ServedKind> kinds = new ArrayList<>();
        for (FieldReader kind : reader.objects("kinds")) {
            kinds.add(new ServedKind(
                    kind.requiredText("name"),
                    kind.decimal("perSecond", 0, MOST, 0),
                    seconds(kind, "objectiveSeconds"),
                    seconds(kind, "deadlineSeconds"),
                    seconds(kind, "longestPauseSeconds"),
                    kind.decimal("worth", 0, MOST, 1),
                    kind.decimal("lateWorth", 0, MOST, 0),
                    kind.integer("priority", 0, MOST_COUNT, 0),
                    kind.bool("resumable", false),
                    number(kind, "events"),
                    number(kind, "ownTokens"),
                    readShared(kind)));
            kind.rejectUnknownFields();
        }
        return kinds;
    }

    private static Duration seconds(FieldReader reader, String name) {
        return reader.seconds(name, 0, MOST_SECONDS, Duration.ZERO);
    }

    private static DrawnNumber number(FieldReader reader, String name) {
        FieldReader field = reader.object(name).orElseThrow();
        DrawnNumber number = drawn(field);
        field.rejectUnknownFields();
        return number;
    }

    private static DrawnNumber drawn(FieldReader field) {
        return new DrawnNumber(
                field.decimal("mean", 0, MOST, 1),
                field.decimal("spread", 0, MOST, 0),
                field.decimal("most", 0, MOST, MOST));
    }

    private static List<SharedPart> readShared(FieldReader kind) {
        List<SharedPart> parts = new ArrayList<>();
        for (FieldReader part : kind.objects("shared")) {
            parts.add(new SharedPart(drawn(part), part.integer("identities", 1, MOST_COUNT, 1)));
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
            List<EngineLoss> losses = new ArrayList<>();
            day.objects("losses").forEach(loss -> losses.add(readLoss(loss)));
            days.add(new LoadDay(
                    day.requiredText("name"),
                    day.decimal("seconds", 1, MOST_SECONDS, 34),
                    day.decimal("load", 0, MOST, 1),
                    changes,
                    losses));
            day.rejectUnknownFields();
        }
        return days;
    }

    private static LoadChange readChange(FieldReader change) {
        LoadChange read = new LoadChange(
                change.requiredText("kind"),
                change.decimal("fromSeconds", 0, MOST, 0),
                change.decimal("seconds", 0, MOST, 0),
                change.decimal("times", 0, MOST, 1));
        change.rejectUnknownFields();
        return read;
    }

    /** One kind has its high time while the other has its low one, in turn. */
    private static List<LoadChange> readSwings(FieldReader swing) {
        String first = swing.requiredText("first");
        String second = swing.requiredText("second");
        double from = swing.decimal("fromSeconds", 0, MOST, 0);
        double until = swing.decimal("untilSeconds", 0, MOST, 0);
        double each = swing.decimal("eachSeconds", 0.1, MOST, 1);
        double high = swing.decimal("high", 0, MOST, 1);
        double low = swing.decimal("low", 0, MOST, 1);
        swing.rejectUnknownFields();
        List<LoadChange> changes = new ArrayList<>();
        boolean firstIsHigh = true;
        for (double start = from; start < until; start += each) {
            double length = Math.min(each, until - start);
            changes.add(new LoadChange(first, start, length, firstIsHigh ? high : low));
            changes.add(new LoadChange(second, start, length, firstIsHigh ? low : high));
            firstIsHigh = !firstIsHigh;
        }
        return changes;
    }

    private static EngineLoss readLoss(FieldReader loss) {
        EngineLoss read = new EngineLoss(
                loss.integer("engine", 0, MOST_COUNT, 0),
                loss.decimal("fromSeconds", 0, MOST, 0),
                loss.decimal("seconds", 0, MOST, MOST_SECONDS));
        loss.rejectUnknownFields();
        return read;
    }
}
