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
    public void should_read_every_customer() throws Exception {
        try (Stream<Path> files = Files.list(CUSTOMERS)) {
            for (Path file : files.toList()) {
                Customer customer = new CustomerReader().read(file);
                assertTrue(!customer.kinds().isEmpty() && !customer.days().isEmpty(), file.toString());
            }
        }
    }

    @Test
    public void should_give_the_same_day_for_the_same_seed() throws AspenmoorException {
        assertEquals(play("seitkali.json", 1, 7), play("seitkali.json", 1, 7));
    }

    @Test
    public void should_account_for_every_caller() throws AspenmoorException {
        DayResult result = play("seitkali.json", 1, 7);

        result.kinds()
                .forEach(kind -> assertEquals(kind.served() + kind.refused() + kind.failed(), 1, 1e-9, kind.kind()));
    }

    @Test
    public void should_serve_nearly_all_where_there_is_little_load() throws AspenmoorException {
        for (String file : List.of("norrvik.json", "seitkali.json", "hojas.json")) {
            DayResult result = play(file, 0.2, 3);

            assertTrue(result.served() > 0.99, file + ": " + result.served());
        }
    }

    @Test
    public void should_earn_less_under_twice_the_load() throws AspenmoorException {
        assertTrue(play("hojas.json", 2, 3).earned() < play("hojas.json", 1, 3).earned());
    }

    private static DayResult play(String file, double load, long seed) throws AspenmoorException {
        Customer customer = new CustomerReader().read(CUSTOMERS.resolve(file));
        LoadDay day = customer.days().getFirst().times(load);
        return new ReplayRun(customer, day, seed, EnumSet.noneOf(Mechanism.class)).play();
    }
}
