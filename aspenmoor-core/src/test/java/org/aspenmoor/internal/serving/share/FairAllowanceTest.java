package org.aspenmoor.internal.serving.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class FairAllowanceTest {
    private static final double TOLERANCE = 1e-6;

    @Test
    public void should_allow_small_demands_whole_and_divide_the_remainder_among_large_ones() {
        FairAllowance allowance =
                FairAllowance.of(List.of(demand(1, 0, 10), demand(2, 0, 100), demand(3, 0, 300)), 110);

        assertEquals(allowance.admittedFraction(key(1, 0)), 1, TOLERANCE);
        assertEquals(allowance.admittedFraction(key(2, 0)), 0.5, TOLERANCE);
        assertEquals(allowance.admittedFraction(key(3, 0)), 50 / 300.0, TOLERANCE);
    }

    @Test
    public void should_limit_nothing_when_the_total_covers_all_demands() {
        assertFalse(
                FairAllowance.of(List.of(demand(1, 0, 10), demand(2, 3, 0)), 10).limits());
        assertFalse(FairAllowance.of(List.of(), 0).limits());
    }

    // Guards against an urgent class that takes everything, and against one that gets less than a less urgent one.
    @Test
    public void should_serve_the_more_urgent_class_more_and_leave_the_other_half_of_its_fair_part() {
        FairAllowance allowance = FairAllowance.of(List.of(demand(1, 0, 100), demand(2, 5, 100)), 100);

        assertEquals(allowance.admittedFraction(key(1, 0)), 0.75, TOLERANCE);
        assertEquals(allowance.admittedFraction(key(2, 5)), 0.25, TOLERANCE);
    }

    // Guards against an organisation that gets two shares because its requests have two priorities.
    @Test
    public void should_give_an_organisation_with_two_priorities_one_share() {
        FairAllowance allowance = FairAllowance.of(
                List.of(demand(1, 0, 100), demand(1, 1, 100), demand(2, 0, 100), demand(3, 1, 100)), 120);
        double first = 100 * (allowance.admittedFraction(key(1, 0)) + allowance.admittedFraction(key(1, 1)));

        assertEquals(first, 40, TOLERANCE);
    }

    // Guards against figures that become infinite or not a number and then admit or refuse everything.
    @Test
    public void should_stay_within_the_total_when_figures_are_huge_or_tiny() {
        List<WeightedDemand> demands = List.of(demand(1, 0, 1e9), demand(2, 0, 1e-30), demand(3, 7, Double.MIN_VALUE));

        FairAllowance allowance = FairAllowance.of(demands, 100);

        assertEquals(allowance.admittedFraction(key(1, 0)) * 1e9, 100, 1);
        assertEquals(allowance.admittedFraction(key(2, 0)), 1, TOLERANCE);
        assertEquals(FairAllowance.of(demands, 0).admittedFraction(key(1, 0)), 0, TOLERANCE);
    }

    @Test
    public void should_stay_within_the_total_when_there_are_ten_thousand_organisations() {
        List<WeightedDemand> demands = new ArrayList<>();
        for (int number = 1; number <= 10_000; number++) {
            demands.add(demand(number, number % 7, number % 100));
        }

        FairAllowance allowance = FairAllowance.of(demands, 1_000);
        double allowed = demands.stream()
                .mapToDouble(each -> each.workPerSecond() * allowance.admittedFraction(each.requester()))
                .filter(work -> work > 0)
                .sum();

        assertTrue(allowed <= 1_000 + TOLERANCE && allowed > 990, "allowed " + allowed);
    }

    private static OrganisationClass key(long organisation, int priority) {
        return new OrganisationClass(organisation, priority);
    }

    private static WeightedDemand demand(long organisation, int priority, double workPerSecond) {
        return new WeightedDemand(key(organisation, priority), workPerSecond, 1);
    }
}
