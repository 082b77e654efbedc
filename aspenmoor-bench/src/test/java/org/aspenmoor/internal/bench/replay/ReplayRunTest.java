package org.aspenmoor.internal.bench.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.stream.Stream;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.bench.replay.customer.Customer;
import org.aspenmoor.internal.bench.replay.customer.CustomerReader;
import org.aspenmoor.internal.bench.replay.customer.LoadDay;
import org.aspenmoor.internal.bench.replay.run.DayResult;
import org.aspenmoor.internal.bench.replay.run.Mechanism;
import org.aspenmoor.internal.bench.replay.run.ReplayRun;
import org.testng.annotations.Test;

public final class ReplayRunTest {
    private static final Path CUSTOMERS = Path.of("customers");

    @Test
    public void should_read_every_customer_file() throws Exception {
        try (Stream<Path> files = Files.list(CUSTOMERS)) {
            for (Path file : files.toList()) {
                Customer customer = new CustomerReader().read(file);
                assertTrue(!customer.kinds().isEmpty() && !customer.days().isEmpty(), file.toString());
            }
        }
    }

    @Test
    public void should_return_same_result_when_seed_is_same() throws AspenmoorException {
        assertEquals(replayFirstDay("seitkali.json", 1, 7), replayFirstDay("seitkali.json", 1, 7));
    }

    @Test
    public void should_count_every_caller_as_served_refused_or_failed() throws AspenmoorException {
        DayResult result = replayFirstDay("seitkali.json", 1, 7);

        result.kinds()
                .forEach(kind -> assertEquals(
                        kind.servedFraction() + kind.refusedFraction() + kind.failedFraction(), 1, 1e-9, kind.kind()));
    }

    @Test
    public void should_serve_nearly_all_requests_when_load_is_low() throws AspenmoorException {
        for (String file : List.of("norrvik.json", "seitkali.json", "hojas.json")) {
            DayResult result = replayFirstDay(file, 0.2, 3);

            assertTrue(result.servedFraction() > 0.99, file + ": served fraction " + result.servedFraction());
        }
    }

    @Test
    public void should_earn_smaller_fraction_when_load_is_doubled() throws AspenmoorException {
        assertTrue(replayFirstDay("hojas.json", 2, 3).earnedFraction()
                < replayFirstDay("hojas.json", 1, 3).earnedFraction());
    }

    private static DayResult replayFirstDay(String file, double load, long seed) throws AspenmoorException {
        Customer customer = new CustomerReader().read(CUSTOMERS.resolve(file));
        LoadDay day = customer.days().getFirst().scaledBy(load);
        return new ReplayRun(customer, day, seed, EnumSet.noneOf(Mechanism.class)).run();
    }
}
