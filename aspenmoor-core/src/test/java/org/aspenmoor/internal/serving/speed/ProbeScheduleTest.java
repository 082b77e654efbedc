package org.aspenmoor.internal.serving.speed;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.aspenmoor.internal.serving.BackendServer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProbeScheduleTest {
    private static final List<BackendServer> SERVERS = IntStream.range(0, 12)
            .mapToObj(index -> ProbeServers.server("s-" + index))
            .toList();
    private static final BackendServer FIRST = SERVERS.getFirst();
    private static final List<BackendServer> ONLY_FIRST = List.of(FIRST);
    private static final int MAX_OUTSTANDING = 8;

    private KnownSpeeds speeds;
    private EntryTurns turns;
    private ProbeSchedule schedule;

    @BeforeMethod
    public void setUp() {
        speeds = new KnownSpeeds();
        SERVERS.forEach(speeds::serverChanged);
        turns = new EntryTurns("own");
        schedule = new ProbeSchedule(speeds, turns);
    }

    // Guards against probes in deployments whose servers state no slowdown.
    @Test
    public void should_ask_one_server_once_when_it_states_nothing() {
        List<BackendServer> asked = schedule.take(SERVERS, at(0));
        assertEquals(asked.size(), 1);
        assertTrue(schedule.take(SERVERS, at(100)).isEmpty());

        schedule.answered(asked.getFirst(), at(100));
        speeds.requestArrived(ProbeServers.SERVICE, at(60_000));

        assertTrue(schedule.take(SERVERS, at(60_000)).isEmpty());
    }

    // Guards against a service whose speeds stay unknown because the server that was asked first is away.
    @Test
    public void should_ask_another_server_when_the_first_one_does_not_answer() {
        BackendServer asked = schedule.take(SERVERS, at(0)).getFirst();

        schedule.failed(asked, at(100));

        List<BackendServer> next = schedule.take(SERVERS, at(200));
        assertEquals(next.size(), 1);
        assertTrue(!next.contains(asked));
    }

    // Guards against slow phases that entries notice when they have passed.
    @Test
    public void should_probe_a_server_of_a_busy_service_when_its_statement_is_half_a_slow_phase_old() {
        speeds.stated(FIRST, 1, at(0));
        speeds.requestArrived(ProbeServers.SERVICE, at(0));

        assertTrue(schedule.take(ONLY_FIRST, at(349)).isEmpty());
        assertEquals(schedule.take(ONLY_FIRST, at(350)), ONLY_FIRST);
    }

    // Guards against statements that are old when the next report takes them to the other entries.
    @Test
    public void should_probe_earlier_when_the_answer_goes_into_the_next_report() {
        speeds.stated(FIRST, 1, at(0));
        speeds.requestArrived(ProbeServers.SERVICE, at(0));

        assertTrue(schedule.takeBeforeReport(ONLY_FIRST, at(249)).isEmpty());
        assertEquals(schedule.takeBeforeReport(ONLY_FIRST, at(250)), ONLY_FIRST);
    }

    // Guards against the cost of probes while nobody needs the result.
    @Test
    public void should_probe_rarely_when_the_service_is_idle() {
        speeds.stated(FIRST, 1, at(0));

        assertTrue(schedule.take(ONLY_FIRST, at(10_049)).isEmpty());
        assertEquals(schedule.take(ONLY_FIRST, at(10_050)), ONLY_FIRST);
    }

    // Guards against first requests after a start that meet servers of unknown speed.
    @Test
    public void should_probe_all_servers_at_once_after_the_start_when_alone_but_few_at_a_time() {
        speeds.stated(FIRST, 1, at(0));

        assertEquals(schedule.take(SERVERS, at(0)).size(), MAX_OUTSTANDING);
        assertTrue(schedule.take(SERVERS, at(1)).isEmpty());
    }

    // Guards against probes by every entry, whose number would grow with that of the entries.
    @Test
    public void should_leave_a_server_to_the_entry_that_comes_first_until_nothing_is_heard_of_it() {
        turns.activeEntries(List.of("a", "b", "c"), 4, at(0));
        SERVERS.forEach(server -> speeds.stated(server, 1, at(0)));
        speeds.requestArrived(ProbeServers.SERVICE, at(0));

        List<BackendServer> own = schedule.take(SERVERS, at(500));
        assertTrue(own.size() < SERVERS.size() / 2, "probes " + own.size());
        own.forEach(server -> schedule.failed(server, at(500)));

        speeds.requestArrived(ProbeServers.SERVICE, at(3000));
        assertTrue(schedule.take(SERVERS, at(3000)).size() > own.size());
    }

    // Guards against probes of all entries in the moment when an idle service gets a request.
    @Test
    public void should_wait_for_its_turn_when_a_service_becomes_busy() {
        turns.activeEntries(List.of("a", "b", "c"), 4, at(0));
        SERVERS.forEach(server -> speeds.stated(server, 1, at(0)));
        speeds.requestArrived(ProbeServers.SERVICE, at(9_000));

        assertTrue(schedule.take(SERVERS, at(9_000)).size() < SERVERS.size() / 2);
    }

    // Guards against a stream of probes to a server that does not answer them.
    @Test
    public void should_pause_longer_each_time_when_a_server_answers_without_a_statement() {
        speeds.stated(FIRST, 1, at(0));
        assertEquals(schedule.take(ONLY_FIRST, at(10_050)), ONLY_FIRST);
        schedule.answered(FIRST, at(10_060));
        assertTrue(schedule.take(ONLY_FIRST, at(11_059)).isEmpty());
        assertEquals(schedule.take(ONLY_FIRST, at(11_060)), ONLY_FIRST);
        schedule.failed(FIRST, at(11_060));

        assertTrue(schedule.take(ONLY_FIRST, at(13_059)).isEmpty());
        assertEquals(schedule.take(ONLY_FIRST, at(13_060)), ONLY_FIRST);
    }

    private static long at(long milliseconds) {
        return Duration.ofMillis(milliseconds).toNanos();
    }
}
