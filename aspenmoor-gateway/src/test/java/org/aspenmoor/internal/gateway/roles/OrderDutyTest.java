package org.aspenmoor.internal.gateway.roles;

import static org.testng.Assert.assertEquals;

import org.aspenmoor.internal.duty.OrderStanding;
import org.aspenmoor.internal.gateway.standin.TestReports;
import org.aspenmoor.internal.serving.PeerLoads;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OrderDutyTest {
    private PeerLoads peers;
    private long reports;

    @BeforeMethod
    public void createPeerLoads() {
        peers = new PeerLoads();
    }

    @Test
    public void should_make_the_first_entry_by_name_responsible_and_the_second_standby_when_none_has_ordered() {
        hear(standing("entry-1", true, 0));
        hear(standing("entry-4", true, 0));

        assertEquals(OrderDuty.of(standing("entry-0", true, 0), peers), OrderDuty.RESPONSIBLE);
        assertEquals(OrderDuty.of(standing("entry-2", true, 0), peers), OrderDuty.STANDBY);
        assertEquals(OrderDuty.of(standing("entry-5", true, 0), peers), OrderDuty.NONE);
    }

    // Guards against roles that no entry changes while the first entry by name alone cannot reach the store.
    @Test
    public void should_make_the_next_entry_responsible_when_the_first_cannot_reach_the_store() {
        hear(standing("entry-0", false, 7));

        assertEquals(OrderDuty.of(standing("entry-1", true, 0), peers), OrderDuty.RESPONSIBLE);
        assertEquals(OrderDuty.of(standing("entry-0", false, 7), new PeerLoads()), OrderDuty.NONE);
    }

    // Guards against seconds without any order after an entry returns that is first by name: it could not get the lease
    // that another entry has just used, and that one had left the orders to it.
    @Test
    public void should_leave_the_duty_with_the_entry_that_ordered_last_when_the_first_returns() {
        hear(standing("entry-0", false, 7));
        hear(standing("entry-0", true, 7));

        assertEquals(OrderDuty.of(standing("entry-1", true, 8), peers), OrderDuty.RESPONSIBLE);
        assertEquals(OrderDuty.of(standing("entry-2", true, 0), peers), OrderDuty.STANDBY);
    }

    private static OrderStanding standing(String entry, boolean storeReached, long fencingNumber) {
        return new OrderStanding(entry, storeReached, fencingNumber);
    }

    private void hear(OrderStanding standing) {
        reports++;
        peers.receive(TestReports.of(standing, reports), 0);
    }
}
