package org.aspenmoor.internal.gateway.roles;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.serving.PeerLoads;
import org.aspenmoor.internal.serving.PeerReport;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class OrderDutyTest {
    private PeerLoads peers;

    @BeforeMethod
    public void createPeerLoads() {
        peers = new PeerLoads();
    }

    @Test
    public void should_make_the_first_entry_by_name_responsible_and_the_second_standby() {
        hear("entry-1", true);
        hear("entry-4", true);

        assertEquals(OrderDuty.of("entry-0", true, peers), OrderDuty.RESPONSIBLE);
        assertEquals(OrderDuty.of("entry-2", true, peers), OrderDuty.STANDBY);
        assertEquals(OrderDuty.of("entry-5", true, peers), OrderDuty.NONE);
    }

    // Guards against roles that no entry changes while the first entry by name alone cannot reach the store.
    @Test
    public void should_make_the_next_entry_responsible_when_the_first_cannot_reach_the_store() {
        hear("entry-0", false);

        assertEquals(OrderDuty.of("entry-1", true, peers), OrderDuty.RESPONSIBLE);
        assertEquals(OrderDuty.of("entry-0", false, new PeerLoads()), OrderDuty.NONE);
    }

    @Test
    public void should_return_the_duty_to_the_first_entry_when_it_reaches_the_store_again() {
        hear("entry-0", false);
        hear("entry-0", true);

        assertEquals(OrderDuty.of("entry-1", true, peers), OrderDuty.STANDBY);
    }

    private void hear(String entry, boolean storeReached) {
        long sequence = storeReached ? 2 : 1;
        peers.receive(
                new PeerReport(
                        entry,
                        1,
                        sequence,
                        Map.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(),
                        Optional.empty(),
                        storeReached,
                        false),
                0);
    }
}
