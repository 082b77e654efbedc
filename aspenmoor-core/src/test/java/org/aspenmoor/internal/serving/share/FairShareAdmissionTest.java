package org.aspenmoor.internal.serving.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class FairShareAdmissionTest {
    private static final long MILLISECOND = 1_000_000;
    private static final long SECOND = 1_000 * MILLISECOND;
    private static final String SERVICE = "plain";

    private FairShareAdmission admission;
    private long now;

    @BeforeMethod
    public void setUp() {
        admission = new FairShareAdmission(new Random(1));
        now = SECOND;
    }

    // Guards against entries that limit organisations although servers have room.
    @Test
    public void should_admit_everything_when_nothing_is_turned_away() {
        for (int request = 0; request < 5_000; request++) {
            assertTrue(decide("large") instanceof ShareDecision.Admitted);
            admission.completed(SERVICE, 1, now);
        }
        assertFalse(admission.summaries().getFirst().limiting());
    }

    @Test
    public void should_refuse_only_the_organisation_above_its_share_when_work_is_turned_away() {
        int refused = 0;
        for (int request = 0; request < 5_000; request++) {
            String organisation = request % 20 == 0 ? "small" : "large";
            switch (decide(organisation)) {
                case ShareDecision.Admitted admitted -> end(request % 2 == 0);
                case ShareDecision.Refused refusal -> {
                    refused++;
                    assertEquals(organisation, "large");
                }
            }
        }
        assertTrue(refused > 1_000, "refused " + refused);
    }

    // Guards against a report that does not fit into a datagram, and against memory that grows with the organisations.
    @Test
    public void should_report_the_largest_and_sum_up_the_rest_when_there_are_ten_thousand_organisations() {
        for (int number = 0; number < 10_000; number++) {
            decide("organisation " + number);
            admission.turnedAway(SERVICE, 1, now);
        }
        for (int request = 0; request < 50; request++) {
            decide("organisation 5");
        }
        admission.update(now);
        ServiceDemand reported = admission.toReport(now).getFirst();
        double total = reported.organisations().stream()
                .mapToDouble(OrganisationDemand::workPerSecond)
                .sum();

        assertTrue(
                reported.organisations().size() <= 61, reported.organisations().size() + " organisations");
        assertEquals(total, 1_000, 100);
    }

    // Guards against figures of an entry that has been killed, or that cannot be right, and that limit others for good.
    @Test
    public void should_drop_invalid_figures_of_an_entry_and_forget_the_others_when_it_is_silent() {
        OrganisationDemand twice = new OrganisationDemand(7, 0, 100);
        OrganisationDemand huge = new OrganisationDemand(8, 0, 1e30);
        ServiceDemand demand = new ServiceDemand(SERVICE, List.of(twice, twice, huge), 50, 40);
        ServiceDemand impossible = new ServiceDemand("other", List.of(), Double.NaN, 0);

        assertTrue(admission.peerReported("a", List.of(impossible, demand), now).isPresent());
        admission.update(now);
        assertEquals(admission.summaries().size(), 1);
        assertEquals(admission.summaries().getFirst().requestedPerSecond(), 100, 1e-6);

        admission.update(now + 2 * SECOND);
        admission.update(now + 20 * SECOND);
        admission.update(now + 30 * SECOND);
        assertTrue(admission.summaries().isEmpty());
    }

    private void end(boolean completed) {
        if (completed) {
            admission.completed(SERVICE, 1, now);
        } else {
            admission.turnedAway(SERVICE, 1, now);
        }
    }

    private ShareDecision decide(String organisation) {
        now += MILLISECOND;
        return admission.decide(SERVICE, organisation, 0, 1, now);
    }
}
