package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Entries that have all just started, have read the terminations in the store, and have not heard each other yet. */
public class TrialsAfterStartTest {
    private static final SuspectDigest SUSPECT = new SuspectDigest(1, 2);
    private static final long STARTED_AT = Duration.ofHours(1).toNanos();
    private static final Duration TURN = Duration.ofSeconds(1);

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2}, {8}, {34}, {300}};
    }

    // Guards against entries that all send a fatal request at once when its quarantine period ends as they start.
    @Test(dataProvider = "fleets")
    public void should_let_one_entry_try_first_when_all_start_as_a_quarantine_period_ends(int entries) {
        Duration age = Quarantine.QUARANTINE_PERIODS.getFirst();

        assertEquals(entriesThatMayTry(entries, age, STARTED_AT), 1);
    }

    // Guards against entries that all send a fatal request at once because their turns have passed before they started.
    @Test(dataProvider = "fleets")
    public void should_let_one_entry_try_first_when_a_quarantine_period_has_ended_before_all_start(int entries) {
        Duration age = Quarantine.QUARANTINE_PERIODS.getFirst().multipliedBy(2);

        assertEquals(entriesThatMayTry(entries, age, STARTED_AT), 1);
        assertEquals(entriesThatMayTry(entries, age, STARTED_AT + TURN.toNanos()), Math.min(3, entries));
    }

    // Guards against an entry that takes itself for the only one until it has read the registrations.
    @Test
    public void should_wait_when_the_registered_entries_are_not_known() {
        RankedTrialTurns turns = new RankedTrialTurns("entry-0", Optional::empty);

        assertEquals(turns.delay(SUSPECT), Duration.ofSeconds(5));
    }

    private static long entriesThatMayTry(int entries, Duration age, long now) {
        Set<String> names = IntStream.range(0, entries)
                .mapToObj(number -> "entry-" + number)
                .collect(Collectors.toSet());
        return names.stream()
                .map(name -> started(name, names, age))
                .filter(quarantine -> quarantine.decide(SUSPECT, now) instanceof QuarantineDecision.Suspected)
                .count();
    }

    private static Quarantine started(String name, Set<String> registered, Duration age) {
        Quarantine quarantine = new Quarantine(new RankedTrialTurns(name, () -> Optional.of(registered)), STARTED_AT);
        for (String server : List.of("one", "two")) {
            ServerIncarnation incarnation = new ServerIncarnation(server, 1);
            quarantine.terminationReported(new ServerTermination(SUSPECT, incarnation, age, false), STARTED_AT);
        }
        return quarantine;
    }
}
