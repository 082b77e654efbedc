package org.aspenmoor.internal.serving.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LimitShareTest {
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{1, 5.0}, {2, 0.0}, {8, 0.3}, {8, 5.0}, {34, 0.0}, {34, 1.0}, {34, 5.9}, {400, 20.0}};
    }

    // Guards against shares that together exceed the limit, or reserves that exceed what a server tolerates at once.
    @Test(dataProvider = "fleets")
    public void should_stay_within_what_a_server_tolerates_when_all_entries_use_all_they_may(
            int entries, double limit) {
        List<ShareClaim> claims = Stream.iterate(1, number -> number <= entries, number -> number + 1)
                .map(number -> new ShareClaim(number % 5 * 10.0, number % 5, number))
                .toList();
        List<Double> shares = sharesOf(claims, limit);

        double total = shares.stream().mapToDouble(Double::doubleValue).sum();
        long owners = shares.stream().filter(share -> share > 0).count();
        assertTrue(total <= Math.max(limit, 0.25) + 1e-9, "shares sum to " + total);
        assertTrue(owners + 4 * total <= 1.5 * 4 * limit + 5, owners + " entries share " + total + " a second");
    }

    @Test
    public void should_give_an_entry_a_share_in_proportion_to_its_demand() {
        List<Double> shares = sharesOf(List.of(new ShareClaim(30, 2, 1), new ShareClaim(10, 2, 2)), 10);

        assertEquals(shares.get(0), 3 * shares.get(1), 1e-9);
    }

    // Guards against an entry that has just started and takes the whole limit, since it has heard of no other claim.
    @Test
    public void should_take_an_even_share_when_no_claim_of_the_other_entries_is_known() {
        double share = LimitShare.requestsPerSecond(16, new ShareClaim(100, 3, 1), List.of(), 16);

        assertTrue(share <= 1, "took " + share + " of 16 a second");
    }

    private static List<Double> sharesOf(List<ShareClaim> claims, double limit) {
        List<Double> shares = new ArrayList<>();
        for (ShareClaim own : claims) {
            List<ShareClaim> others =
                    claims.stream().filter(claim -> !claim.equals(own)).toList();
            shares.add(LimitShare.requestsPerSecond(limit, own, others, claims.size()));
        }
        return shares;
    }
}
