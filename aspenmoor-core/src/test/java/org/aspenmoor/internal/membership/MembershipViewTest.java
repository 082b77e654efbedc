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
    private static final String DESK = "desk-1";

    private ManualTimeSource time;
    private MembershipView view;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        view = new MembershipView(MembershipSettings.DEFAULT, time);
        view.hostList(List.of(new HostListEntry(DESK, false)));
        view.hello(DESK, "agent#1", 1, time.monotonicNanos());
    }

    // The agent is told to stop and says so; the platform's list will name the host as live for a minute more. Work
    // sent
    // by the list would reach a server that is about to go.
    @Test
    public void should_take_the_agents_word_over_the_list() {
        view.leaving(DESK, "agent#1");
        view.hostList(List.of(new HostListEntry(DESK, false)));

        assertEquals(view.standing(DESK), new Standing.Leaving(Standing.Witness.AGENT));
    }

    // The platform withdraws a host and its agent has not heard of it yet.
    @Test
    public void should_take_the_lists_word_when_the_agent_says_nothing() {
        view.hostList(List.of(new HostListEntry(DESK, true)));
        assertEquals(view.standing(DESK), new Standing.Leaving(Standing.Witness.HOST_LIST));

        view.hostList(List.of());
        assertEquals(view.standing(DESK), new Standing.Leaving(Standing.Witness.GONE_FROM_HOST_LIST));
    }

    @Test
    public void should_serve_again_when_the_platform_takes_a_withdrawal_back() {
        view.hostList(List.of(new HostListEntry(DESK, true)));
        view.hostList(List.of(new HostListEntry(DESK, false)));

        assertTrue(view.takesNewWork(DESK));
    }

    // An entry is cut off from an agent at the moment in which the agent says that it leaves. The entry never hears it;
    // bookings would go on being sent until the list catches up.
    @Test
    public void should_send_nothing_within_the_bound_when_cut_off_from_a_leaving_agent() {
        for (int heartbeat = 0; heartbeat < 10; heartbeat++) {
            time.advance(Duration.ofMillis(500));
            view.probeAnswered(DESK, 1, time.monotonicNanos());
        }
        assertTrue(view.takesNewWork(DESK));

        time.advance(MembershipSettings.DEFAULT.silenceAllowed());

        assertEquals(view.standing(DESK), new Standing.Silent());
        view.probeAnswered(DESK, 1, time.monotonicNanos());
        assertTrue(view.takesNewWork(DESK));
    }

    // A link is slow: answers to old probes go on arriving after the agent has said that it leaves, before its word.
    @Test
    public void should_not_count_the_late_answer_to_an_old_probe() {
        long probeSent = time.monotonicNanos();
        time.advance(MembershipSettings.DEFAULT.silenceAllowed());

        view.probeAnswered(DESK, 1, probeSent);

        assertEquals(view.standing(DESK), new Standing.Silent());
    }

    // The host is replaced and comes back under the same address while the list still says leaving, or has lost it.
    @Test
    public void should_serve_a_host_that_returned_under_the_same_address() {
        view.leaving(DESK, "agent#1");
        view.hostList(List.of(new HostListEntry(DESK, true)));
        view.linkLost(DESK, 1);
        view.hello(DESK, "agent#2", 2, time.monotonicNanos());

        assertTrue(view.takesNewWork(DESK));
        view.hostList(List.of());
        assertTrue(view.takesNewWork(DESK));
    }

    // The returned host is withdrawn in turn, after the list has named it as live. The first withdrawal must not hide
    // the second.
    @Test
    public void should_let_a_returned_host_leave_again() {
        view.hostList(List.of(new HostListEntry(DESK, true)));
        view.hello(DESK, "agent#2", 2, time.monotonicNanos());
        view.hostList(List.of(new HostListEntry(DESK, false)));
        view.hostList(List.of(new HostListEntry(DESK, true)));

        assertEquals(view.standing(DESK), new Standing.Leaving(Standing.Witness.HOST_LIST));
    }

    // Words from before the return arrive late: the old agent's farewell, a hello read from the old connection, the end
    // of the old connection. The new agent must go on serving.
    @Test
    public void should_ignore_late_words_about_an_earlier_incarnation() {
        view.hello(DESK, "agent#2", 2, time.monotonicNanos());
        view.leaving(DESK, "agent#1");
        view.hello(DESK, "agent#1", 1, time.monotonicNanos());
        view.linkLost(DESK, 1);

        assertTrue(view.takesNewWork(DESK));
    }

    // The farewell overtakes the hello of its own incarnation on another connection.
    @Test
    public void should_not_serve_an_incarnation_that_has_already_left() {
        view.leaving(DESK, "agent#2");
        view.hello(DESK, "agent#2", 2, time.monotonicNanos());

        assertFalse(view.takesNewWork(DESK));
    }

    @Test
    public void should_serve_a_new_host_that_the_list_does_not_name_yet() {
        view.hello("desk-2", "agent#9", 3, time.monotonicNanos());
        view.hostList(List.of(new HostListEntry(DESK, false)));

        assertTrue(view.takesNewWork("desk-2"));
    }

    @Test
    public void should_send_nothing_to_a_listed_host_that_never_said_hello() {
        view.hostList(List.of(new HostListEntry("desk-3", false)));

        assertEquals(view.standing("desk-3"), new Standing.Unmet());
    }

    @Test
    public void should_forget_what_no_document_names() {
        view.retain(Set.of());

        assertTrue(view.all().isEmpty());
    }
}
