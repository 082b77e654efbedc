package org.aspenmoor.internal.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class MembershipViewTest {
    private static final String SERVER = "desk-1";

    private ManualTimeSource time;
    private MembershipView view;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        view = new MembershipView(MembershipSettings.DEFAULT, time);
        view.hostListRead(List.of(new HostListEntry(SERVER, false)));
        view.helloReceived(SERVER, "agent#1", 1, time.monotonicNanos());
    }

    // The agent is stopped and announces that it leaves, but the platform's list names the host as live for a
    // minute more. Work sent according to the list would reach a server that is about to terminate.
    @Test
    public void should_follow_the_agent_when_the_list_contradicts_it() {
        view.leavingAnnounced(SERVER, "agent#1");
        view.hostListRead(List.of(new HostListEntry(SERVER, false)));

        assertEquals(view.state(SERVER), new MembershipState.Leaving(MembershipState.Source.AGENT));
    }

    // The platform withdraws a host whose agent has not been notified yet.
    @Test
    public void should_follow_the_list_when_the_agent_has_announced_nothing() {
        view.hostListRead(List.of(new HostListEntry(SERVER, true)));
        assertEquals(view.state(SERVER), new MembershipState.Leaving(MembershipState.Source.HOST_LIST));

        view.hostListRead(List.of());
        assertEquals(view.state(SERVER), new MembershipState.Leaving(MembershipState.Source.GONE_FROM_HOST_LIST));
    }

    @Test
    public void should_serve_again_when_the_platform_revokes_a_withdrawal() {
        view.hostListRead(List.of(new HostListEntry(SERVER, true)));
        view.hostListRead(List.of(new HostListEntry(SERVER, false)));

        assertTrue(view.acceptsNewWork(SERVER));
    }

    // An entry is disconnected from an agent at the moment the agent announces that it leaves. The entry never
    // receives the announcement and would go on sending requests until the list catches up.
    @Test
    public void should_send_no_work_within_the_bound_when_disconnected_from_a_leaving_agent() {
        for (int heartbeat = 0; heartbeat < 10; heartbeat++) {
            time.advance(Duration.ofMillis(500));
            view.probeAnswered(SERVER, 1, time.monotonicNanos());
        }
        assertTrue(view.acceptsNewWork(SERVER));

        time.advance(MembershipSettings.DEFAULT.linkTimeout());

        assertEquals(view.state(SERVER), new MembershipState.Unresponsive());
        view.probeAnswered(SERVER, 1, time.monotonicNanos());
        assertTrue(view.acceptsNewWork(SERVER));
    }

    // On a slow link, responses to old probes keep arriving after the agent has announced that it leaves and before
    // the announcement arrives.
    @Test
    public void should_not_count_a_probe_response_when_it_arrives_late() {
        long probeSentNanoseconds = time.monotonicNanos();
        time.advance(MembershipSettings.DEFAULT.linkTimeout());

        view.probeAnswered(SERVER, 1, probeSentNanoseconds);

        assertEquals(view.state(SERVER), new MembershipState.Unresponsive());
    }

    // The host is replaced and returns under the same address while the list still marks it as leaving or no longer
    // contains it.
    @Test
    public void should_serve_again_when_a_host_returns_under_the_same_address() {
        view.leavingAnnounced(SERVER, "agent#1");
        view.hostListRead(List.of(new HostListEntry(SERVER, true)));
        view.linkLost(SERVER, 1);
        view.helloReceived(SERVER, "agent#2", 2, time.monotonicNanos());

        assertTrue(view.acceptsNewWork(SERVER));
        view.hostListRead(List.of());
        assertTrue(view.acceptsNewWork(SERVER));
    }

    // The returned host is withdrawn again after the list has named it as live. The first withdrawal must not mask
    // the second.
    @Test
    public void should_mark_a_returned_host_as_leaving_when_it_is_withdrawn_again() {
        view.hostListRead(List.of(new HostListEntry(SERVER, true)));
        view.helloReceived(SERVER, "agent#2", 2, time.monotonicNanos());
        view.hostListRead(List.of(new HostListEntry(SERVER, false)));
        view.hostListRead(List.of(new HostListEntry(SERVER, true)));

        assertEquals(view.state(SERVER), new MembershipState.Leaving(MembershipState.Source.HOST_LIST));
    }

    // Messages from before the return arrive late: the old agent's announcement, a hello from the old connection,
    // the loss of the old connection. The new agent must stay in service.
    @Test
    public void should_ignore_a_late_message_when_it_concerns_an_earlier_incarnation() {
        view.helloReceived(SERVER, "agent#2", 2, time.monotonicNanos());
        view.leavingAnnounced(SERVER, "agent#1");
        view.helloReceived(SERVER, "agent#1", 1, time.monotonicNanos());
        view.linkLost(SERVER, 1);

        assertTrue(view.acceptsNewWork(SERVER));
    }

    // The announcement that an incarnation leaves arrives before the hello of the same incarnation on another
    // connection.
    @Test
    public void should_not_serve_an_incarnation_when_it_has_already_left() {
        view.leavingAnnounced(SERVER, "agent#2");
        view.helloReceived(SERVER, "agent#2", 2, time.monotonicNanos());

        assertFalse(view.acceptsNewWork(SERVER));
    }

    @Test
    public void should_serve_a_new_host_when_the_list_does_not_name_it_yet() {
        view.helloReceived("desk-2", "agent#9", 3, time.monotonicNanos());
        view.hostListRead(List.of(new HostListEntry(SERVER, false)));

        assertTrue(view.acceptsNewWork("desk-2"));
    }

    @Test
    public void should_send_no_work_to_a_listed_host_when_it_never_sent_a_hello() {
        view.hostListRead(List.of(new HostListEntry("desk-3", false)));

        assertEquals(view.state("desk-3"), new MembershipState.NeverConnected());
    }

    @Test
    public void should_remove_a_server_when_no_document_names_it() {
        view.retainOnly(Set.of());

        assertTrue(view.states().isEmpty());
    }
}
