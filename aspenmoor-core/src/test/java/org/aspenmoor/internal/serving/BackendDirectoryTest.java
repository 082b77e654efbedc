package org.aspenmoor.internal.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BackendDirectoryTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private BackendDirectory directory;

    @BeforeMethod
    public void start() {
        directory = new BackendDirectory();
    }

    @Test
    public void should_drop_a_server_that_left_while_the_store_served() {
        directory.registrationChanged(TestServers.plain("one"));

        assertTrue(directory.registrationRemoved("one", SECOND));
        assertTrue(directory.find("one").isEmpty());
    }

    // The store is away for some seconds and the registrations of live servers lapse meanwhile. A caller that comes
    // just
    // after its return would be refused though every server is up.
    @Test
    public void should_keep_servers_for_a_while_that_are_missing_after_an_outage() {
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
    public void should_keep_a_server_that_registers_again_after_an_outage() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(0);
        directory.registrationRemoved("one", 4 * SECOND);
        directory.watchSynchronised(4 * SECOND);
        directory.registrationChanged(TestServers.plain("one"));

        assertEquals(directory.expire(9 * SECOND), List.of());
        assertTrue(directory.find("one").isPresent());
    }

    // The store drops its history while a server leaves, and the list that follows lacks it. The store served all the
    // while, so the server has really left and work sent to it would be cut.
    @Test
    public void should_drop_a_server_at_once_that_is_missing_after_a_short_gap() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(SECOND);

        assertTrue(directory.registrationRemoved("one", SECOND + SECOND / 10));
    }

    @Test
    public void should_drop_a_server_at_once_long_after_an_outage() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.watchInterrupted(0);
        directory.watchSynchronised(4 * SECOND);

        assertTrue(directory.registrationRemoved("one", 7 * SECOND));
    }

    // Guards against servers that are dropped although they live, since the store has lost their registrations.
    @Test
    public void should_keep_servers_for_a_while_that_are_missing_where_the_store_came_back_older() {
        directory.registrationChanged(TestServers.plain("one"));
        directory.storeRolledBack(SECOND);

        assertFalse(directory.registrationRemoved("one", SECOND));
        assertEquals(directory.expire(2 * SECOND), List.of());
        assertEquals(directory.expire(3 * SECOND), List.of("one"));
    }

    // Guards against work that is sent to a server which leaves, since the store tells its state from before.
    @Test
    public void should_not_believe_that_a_server_is_ready_again_which_has_said_that_it_leaves() {
        BackendServer server = TestServers.plain("one");
        directory.registrationChanged(server);
        directory.registrationChanged(server.asDraining());

        assertEquals(directory.registrationChanged(server).state(), BackendState.DRAINING);
        assertEquals(directory.find("one").orElseThrow().state(), BackendState.DRAINING);
    }
}
