package org.aspenmoor.internal.bench.replay;

import static org.testng.Assert.assertTrue;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.LongStream;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.replay.customer.Customer;
import org.aspenmoor.internal.bench.replay.customer.CustomerReader;
import org.aspenmoor.internal.bench.replay.customer.LoadDay;
import org.aspenmoor.internal.bench.replay.run.DayResult;
import org.aspenmoor.internal.bench.replay.run.KindResult;
import org.aspenmoor.internal.bench.replay.run.Mechanism;
import org.aspenmoor.internal.bench.replay.run.ReplayRun;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public final class LongAnswersReplayTest {
    /** Required: the largest tenth of a kind is served at least half as often as the kind as a whole. */
    private static final double MIN_FRACTION_OF_ALL = 0.5;

    private static final long SEEDS = 20;

    @DataProvider
    public Object[][] days() {
        return new Object[][] {{"calm"}, {"drafts-first"}, {"swinging"}};
    }

    // Guards against long answers being cut at their deadline because few engines decode and one of them is slow.
    @Test(dataProvider = "days")
    public void should_serve_longest_answers_at_least_half_as_often_as_all_when_one_engine_is_slow(String day) {
        assertLongestAnswersServed(day);
    }

    // Guards against roles that stay as they are because the entry that orders changes cannot reach the store.
    @Test
    public void should_serve_longest_answers_when_the_ordering_entry_cannot_reach_the_store() {
        assertLongestAnswersServed("store-cut");
    }

    private static void assertLongestAnswersServed(String day) {
        List<KindResult> drafts = LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> replayDrafts(day, seed))
                .toList();
        double largest = drafts.stream()
                .mapToDouble(KindResult::largestServedFraction)
                .average()
                .orElseThrow();
        double all = drafts.stream()
                .mapToDouble(KindResult::servedFraction)
                .average()
                .orElseThrow();

        assertTrue(
                largest >= MIN_FRACTION_OF_ALL * all,
                "served fraction of the largest tenth " + largest + ", of all " + all);
    }

    private static KindResult replayDrafts(String dayName, long seed) {
        Customer customer = customerWithSlowEngine();
        LoadDay day = customer.days().stream()
                .filter(each -> each.name().equals(dayName))
                .findFirst()
                .orElseThrow();
        DayResult result = new ReplayRun(customer, day, seed, EnumSet.noneOf(Mechanism.class)).run();
        return result.kinds().stream()
                .filter(kind -> kind.kind().equals("draft"))
                .findFirst()
                .orElseThrow();
    }

    /**
     * Returns a customer with one slow engine in every three; the second engine, a slow one, starts in the decode role.
     */
    private static Customer customerWithSlowEngine() {
        try {
            return new CustomerReader()
                    .read(Path.of("customers", "norrvik.json"))
                    .withEngineSlowdowns(List.of(1.0, 1.3, 1.0));
        } catch (AspenmoorException unreadable) {
            throw new IllegalStateException(unreadable);
        }
    }
}
