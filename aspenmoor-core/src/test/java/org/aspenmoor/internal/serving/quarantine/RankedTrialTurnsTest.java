package org.aspenmoor.internal.serving.quarantine;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

public class RankedTrialTurnsTest {
    private static final SuspectDigest SUSPECT = new SuspectDigest(1, 2);

    // Guards against entries that all send a request with a fatal part when its quarantine period ends.
    @Test
    public void should_let_one_entry_try_first() {
        assertEquals(entriesWithDelay(34, Duration.ZERO), 1);
    }

    // Guards against a suspect that is withheld for minutes because each entry of a large fleet has a turn of its own.
    @Test
    public void should_let_twice_as_many_entries_try_in_each_turn() {
        assertEquals(entriesWithDelay(34, Duration.ofSeconds(1)), 2);
        assertEquals(entriesWithDelay(34, Duration.ofSeconds(4)), 16);
        assertEquals(entriesWithDelay(34, Duration.ofSeconds(5)), 3);
    }

    @Test
    public void should_let_entry_try_at_once_when_no_other_is_registered() {
        assertEquals(new RankedTrialTurns("alone", () -> Optional.of(Set.of())).delay(SUSPECT), Duration.ZERO);
    }

    private static long entriesWithDelay(int entryCount, Duration delay) {
        Set<String> names = IntStream.range(0, entryCount)
                .mapToObj(number -> "entry-" + number)
                .collect(Collectors.toSet());
        return names.stream()
                .filter(name -> new RankedTrialTurns(name, () -> Optional.of(names))
                        .delay(SUSPECT)
                        .equals(delay))
                .count();
    }
}
