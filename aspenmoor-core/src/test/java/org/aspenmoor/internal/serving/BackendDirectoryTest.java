package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.aspenmoor.internal.serving.quarantine.ServerIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendDirectoryTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private BackendDirectory directory;

    @BeforeMethod
    public void createDirectory() {
        directory = new BackendDirectory();
    }

    @Test
    public void should_remove_a_server_at_once_when_the_store_is_available() {
        directory.registrationChanged(TestServers.plain("one"));

        assertTrue(directory.registrationRemoved("one", SECOND));
        assertTrue(directory.find("one").isEmpty());
    }

    // The registrations of live servers lapse while the store is unavailable for several seconds. A caller whose
    // request arrives just after the store returns must not be refused although every server is up.
    @Test
    public void should_keep_missing_servers_for_a_grace_period_after_an_outage() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(0);

        assertFalse(directory.registrationRemoved("one", 4 * SECOND));
        directory.watchSynchronised(4 * SECOND);
        assertTrue(directory.find("one").isPresent());
        assertEquals(directory.expire(5 * SECOND), List.of());
        assertEquals(directory.expire(6 * SECOND), List.of("one"));
        assertTrue(directory.find("one").isEmpty());
    }

    @Test
    public void should_keep_a_server_when_it_registers_again_after_an_outage() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(0);
        directory.registrationRemoved("one", 4 * SECOND);
        directory.watchSynchronised(4 * SECOND);
        directory.registrationChanged(TestServers.plain("one"));

        assertEquals(directory.expire(9 * SECOND), List.of());
        assertTrue(directory.find("one").isPresent());
    }

    // The store drops its history while a server terminates, and the list that follows does not contain the server. The
    // store was available all the time, so the server has really been removed, and work sent to it would be
    // interrupted.
    @Test
    public void should_remove_a_server_at_once_when_it_is_missing_after_a_short_interruption() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(SECOND);

        assertTrue(directory.registrationRemoved("one", SECOND + SECOND / 10));
    }

    @Test
    public void should_remove_a_server_at_once_when_an_outage_is_long_over() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(0);
        directory.watchSynchronised(4 * SECOND);

        assertTrue(directory.registrationRemoved("one", 7 * SECOND));
    }

    // Live servers must not be removed because the store has lost their registrations.
    @Test
    public void should_keep_missing_servers_for_a_grace_period_when_the_store_was_restored_from_an_older_copy() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.storeRolledBack(SECOND);

        assertFalse(directory.registrationRemoved("one", SECOND));
        assertEquals(directory.expire(2 * SECOND), List.of());
        assertEquals(directory.expire(3 * SECOND), List.of("one"));
    }

    // No work must be sent to a draining server because the store returns its earlier state.
    @Test
    public void should_keep_a_server_draining_when_an_outdated_registration_shows_it_as_ready() {
        BackendServer server = TestServers.plain("one");
        directory.registrationChanged(server);
        directory.registrationChanged(server.asDraining());

        assertEquals(directory.registrationChanged(server).state(), BackendState.DRAINING);
        assertEquals(directory.find("one").orElseThrow().state(), BackendState.DRAINING);
    }

    // Guards against a server that gets requests until the store learns what it has announced in its answers.
    @Test
    public void should_drain_a_server_that_announces_it_although_it_is_registered_as_ready() {
        BackendServer server = TestServers.plain("one");
        directory.registrationChanged(server);

        assertTrue(directory.drainAnnounced(ServerIncarnation.of(server)));
        assertFalse(directory.drainAnnounced(ServerIncarnation.of(server)));

        assertEquals(directory.find("one").orElseThrow().state(), BackendState.DRAINING);
        assertEquals(directory.registrationChanged(server).state(), BackendState.DRAINING);
        assertEquals(directory.unregisteredDrains(), List.of(ServerIncarnation.of(server)));
    }

    // Guards against an entry that starts while the store is away and then believes the outdated registration.
    @Test
    public void should_remember_an_announcement_that_arrives_before_the_registration() {
        BackendServer server = TestServers.plain("one");
        directory.drainAnnounced(ServerIncarnation.of(server));

        assertEquals(directory.registrationChanged(server).state(), BackendState.DRAINING);
        assertTrue(directory.drainsUnregistered(directory.find("one").orElseThrow()));
    }

    // Guards against entries that go on telling each other of a server that has left.
    @Test
    public void should_report_an_announcement_no_longer_when_the_store_knows_it() {
        BackendServer server = TestServers.plain("one");
        directory.registrationChanged(server);
        directory.drainAnnounced(ServerIncarnation.of(server));
        directory.registrationChanged(TestServers.draining("one"));
        assertEquals(directory.unregisteredDrains(), List.of());

        directory.registrationRemoved("one", 0);
        directory.drainAnnounced(ServerIncarnation.of(server));
        assertEquals(directory.unregisteredDrains(), List.of());
    }

    // Guards against a new process that is given up because an earlier one with its id was draining.
    @Test
    public void should_not_drain_another_incarnation_than_the_one_that_announced_it() {
        BackendServer server = TestServers.plain("one");
        directory.registrationChanged(server);

        directory.drainAnnounced(new ServerIncarnation("one", server.startedAt() + 1));

        assertEquals(directory.find("one").orElseThrow().state(), BackendState.READY);
    }
}
