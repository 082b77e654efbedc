package org.aspenmoor.internal.gateway.peers;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.gateway.standin.ObservedStore;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.entries.KnownEntries;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.store.InMemoryObjectStore;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PeerDirectoryTest {
    private static final InetSocketAddress FIRST = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001);
    private static final InetSocketAddress SECOND = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7002);

    private static final Set<StreamOrigin> ORIGINS = Set.of(
            new StreamOrigin("model", new SoftwareVersion("old")),
            new StreamOrigin("model", new SoftwareVersion("new")));

    private InMemoryObjectStore store;
    private ObservedStore observed;
    private ManualTimeSource time;
    private OriginStatements statements;
    private List<ListedEntries> listed;
    private List<Set<StreamOrigin>> stated;

    @BeforeMethod
    public void createStore() {
        store = new InMemoryObjectStore();
        observed = new ObservedStore(store, () -> {});
        time = new ManualTimeSource();
        statements = new OriginStatements();
        listed = new ArrayList<>();
        stated = new ArrayList<>();
    }

    @Test
    public void should_register_once_and_list_the_others_when_refreshed_repeatedly() throws Exception {
        directory("one", FIRST).refresh();
        directory("two", SECOND).refresh();
        directory("two", SECOND).refresh();

        assertEquals(
                listed.stream().map(ListedEntries::addresses).toList(),
                List.of(
                        Map.of("one", FIRST),
                        Map.of("one", FIRST, "two", SECOND),
                        Map.of("one", FIRST, "two", SECOND)));
        assertEquals(store.list(ObjectKind.ENTRY_REGISTRATION).objects().size(), 2);
    }

    // Guards against an entry that no other entry discovers because the store has lost its registration with its latest
    // writes.
    @Test
    public void should_register_again_when_the_store_has_lost_the_registration() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        for (int round = 0; round < 2; round++) {
            store.restoreFrom(List.of());
            directory.refresh();

            assertEquals(store.list(ObjectKind.ENTRY_REGISTRATION).objects().size(), 1);
        }
    }

    // Guards against an entry that runs and that the others no longer count.
    @Test
    public void should_renew_the_registration_when_it_is_due_and_not_before() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        time.advance(KnownEntries.LISTING_INTERVAL);
        directory.refresh();
        assertEquals(versionOfFirst(1), versionOfFirst(0));

        time.advance(KnownEntries.RENEWAL_INTERVAL);
        directory.refresh();

        assertNotEquals(versionOfFirst(2), versionOfFirst(0));
        assertEquals(listed.get(2).listing().renewedAt(), time.monotonicNanos());
    }

    // Guards against an entry that takes its part of a bound while the others divide the bound without it.
    @Test
    public void should_state_when_it_has_joined_only_if_others_do_not_know_it() throws Exception {
        directory("one", FIRST).refresh();
        time.advance(Duration.ofSeconds(5));
        directory("two", SECOND).refresh();
        time.advance(Duration.ofSeconds(5));
        directory("two", SECOND).refresh();

        assertEquals(listed.get(0).listing().joinedAt(), Optional.empty());
        assertEquals(
                listed.get(1).listing().joinedAt(),
                Optional.of(Duration.ofSeconds(5).toNanos()));
        assertEquals(listed.get(2).listing().joinedAt(), Optional.empty());
        assertEquals(listed.get(2).listing().renewedAt(), Duration.ofSeconds(5).toNanos());
    }

    // Guards against an entry that returns after the others have stopped to count it.
    @Test
    public void should_join_anew_when_the_registration_of_an_earlier_process_is_old() throws Exception {
        directory("one", FIRST).refresh();
        directory("two", SECOND).refresh();
        time.advance(KnownEntries.LEASE);

        directory("two", SECOND).refresh();

        assertEquals(listed.get(2).listing().joinedAt(), Optional.of(time.monotonicNanos()));
    }

    // Guards against entries that forget which software versions have served when all of them are killed.
    @Test
    public void should_state_origins_in_the_registration_when_told_to() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        statements.write(ORIGINS);
        directory.writeStatement();
        directory("two", SECOND).refresh();

        assertEquals(stated, List.of(ORIGINS));
        assertEquals(listedOrigins("one"), ORIGINS);
    }

    // Guards against a process that overwrites what the one before it has stated, before it knows what to state.
    @Test
    public void should_keep_the_origins_of_the_earlier_process_until_told_what_to_state() throws Exception {
        statements.write(ORIGINS);
        directory("one", FIRST).refresh();
        statements = new OriginStatements();

        directory("one", SECOND).refresh();
        assertEquals(listedOrigins("one"), ORIGINS);

        statements.write(Set.of());
        directory("one", SECOND).refresh();
        assertEquals(listedOrigins("one"), Set.of());
    }

    // Guards against a statement that the store has lost with its latest writes.
    @Test
    public void should_state_origins_again_when_the_store_has_lost_the_registration() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        statements.write(ORIGINS);
        directory.writeStatement();
        store.restoreFrom(List.of());

        directory.refresh();

        assertEquals(listedOrigins("one"), ORIGINS);
    }

    @Test
    public void should_not_write_when_the_registration_states_the_origins_already() throws Exception {
        statements.write(ORIGINS);
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        directory.writeStatement();
        directory.refresh();

        assertEquals(stated, List.of(ORIGINS));
        assertEquals(versionOfFirst(1), versionOfFirst(0));
    }

    // Guards against entries that are discovered late because versions change: bounds are divided by those known.
    @Test
    public void should_not_delay_the_next_listing_when_a_statement_is_written() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        Duration passed = Duration.ofSeconds(9);
        time.advance(passed);
        statements.write(ORIGINS);

        assertEquals(directory.writeStatement(), KnownEntries.LISTING_INTERVAL.minus(passed));
    }

    // Guards against an entry that knows neither the others nor their statements while the store rejects its writes.
    @Test
    public void should_list_the_others_when_the_statement_is_rejected() throws Exception {
        PeerDirectory directory = directory("one", FIRST);
        directory.refresh();
        directory("two", SECOND).refresh();
        statements.write(ORIGINS);
        observed.rejectWrites();
        listed.clear();

        Duration delay = directory.refresh();

        assertEquals(
                listed.stream().map(ListedEntries::addresses).toList(), List.of(Map.of("one", FIRST, "two", SECOND)));
        assertEquals(stated, List.of());
        assertTrue(delay.compareTo(KnownEntries.LISTING_INTERVAL) < 0, "next call after " + delay);
    }

    // Guards against streams that are refused because of a version that left long before the entry was started again.
    @Test
    public void should_not_keep_the_origins_of_an_earlier_process_when_it_ended_long_ago() throws Exception {
        statements.write(ORIGINS);
        directory("one", FIRST).refresh();
        statements = new OriginStatements();
        time.advance(Duration.ofDays(1));

        directory("one", FIRST).refresh();

        assertEquals(listedOrigins("one"), Set.of());
    }

    private Set<StreamOrigin> listedOrigins(String entry) {
        return listed.getLast().origins().statements().get(entry).origins();
    }

    private String versionOfFirst(int listing) {
        return listed.get(listing).listing().versions().get("one");
    }

    private PeerDirectory directory(String entry, InetSocketAddress address) {
        PrintStream output = new PrintStream(new ByteArrayOutputStream(), true, StandardCharsets.UTF_8);
        PeerDirectoryListener listener = new PeerDirectoryListener() {
            @Override
            public void entriesListed(ListedEntries entries) {
                listed.add(entries);
            }

            @Override
            public void originsStated(Set<StreamOrigin> origins) {
                stated.add(origins);
            }
        };
        return new PeerDirectory(
                observed,
                entry,
                address,
                statements,
                time,
                new SplittableRandom(1),
                listener,
                new DecisionLog(time, entry, output));
    }
}
