package org.aspenmoor.internal.dissemination;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

public class DocumentExchangeTest {
    private static final String ALMATY = "almaty-1";
    private static final String LIMA = "lima-1";
    private static final DocumentKey DRAFTING = new DocumentKey("seitkali", "drafting");
    private static final Duration BOUND = Duration.ofSeconds(18);

    @Test
    public void should_push_a_watched_change_to_every_entry_immediately() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);

        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(1)));

        assertTrue(fleet.allHold(DRAFTING, 1));
    }

    @Test
    public void should_send_each_entry_one_copy_of_a_change() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 44);

        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(1)));

        assertEquals(fleet.messagesDelivered(), 44 - fleet.relays(ALMATY).size());
    }

    // A relay's watch loses an event and goes on as if nothing had happened. Callers of the team would be served by the
    // old document at that relay's entries until the next change.
    @Test
    public void should_repair_within_the_bound_when_a_watch_misses_an_event() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String seeing = fleet.relays(ALMATY).getFirst();

        fleet.watchEvent(seeing, drafting(1));
        fleet.run(BOUND);

        assertTrue(fleet.allHold(DRAFTING, 1));
    }

    // A relay was paused and then sends on what it had in its buffers. A change that is already in force would be
    // undone
    // for the callers of every entry below it.
    @Test
    public void should_not_revert_and_should_update_the_relay_when_a_relay_sends_an_old_revision() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String stale = fleet.relays(ALMATY).getLast();
        fleet.disconnect(stale);
        fleet.watchEvent(fleet.relays(ALMATY).getFirst(), drafting(7));
        fleet.run(BOUND);
        fleet.reconnect(stale);

        fleet.watchEvent(stale, drafting(6));

        assertTrue(fleet.allHold(DRAFTING, 7));
    }

    // After a failover the store answers a relay from a replica that is minutes behind, and that replica's watch stays
    // silent. The relay would vouch for an old table, and its data centre would serve on by it without any doubt.
    @Test
    public void should_not_confirm_its_table_when_a_lagging_replica_serves_its_watch() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String relay = fleet.relays(ALMATY).getFirst();
        fleet.receive(relay, fleet.leaf(ALMATY), new DisseminationMessage.Update(drafting(7)));

        fleet.listing(relay, List.of(drafting(5)));
        fleet.exchangeOf(relay).watchConfirmed();

        assertEquals(fleet.revisionAt(relay, DRAFTING), 7);
        assertTrue(fleet.exchangeOf(relay).confirmedAge().isEmpty());

        fleet.watchEvent(relay, drafting(7));
        fleet.exchangeOf(relay).watchConfirmed();
        assertEquals(fleet.exchangeOf(relay).confirmedAge().orElseThrow(), Duration.ZERO);
    }

    // A region loses the others for minutes and changes are accepted meanwhile. Once the partition heals its callers
    // must
    // get the new documents within the bound, also while the store's replica on their side is still behind.
    @Test
    public void should_catch_up_from_another_data_centre_when_a_partition_ends() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        fleet.addDataCentre(LIMA, 8);
        List<String> partitioned =
                fleet.processes().stream().filter(name -> name.startsWith(LIMA)).toList();
        partitioned.forEach(fleet::disconnect);
        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(3)));
        fleet.run(Duration.ofMinutes(3));

        partitioned.forEach(fleet::reconnect);
        fleet.run(BOUND);

        assertTrue(fleet.allHold(DRAFTING, 3));
    }

    // An entry is replaced by a fresh one that knows nothing. Until it has caught up it would refuse the teams whose
    // documents it lacks; it must neither flood the data centre nor go on without them.
    @Test
    public void should_load_all_documents_with_bounded_traffic_when_an_entry_restarts() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<DocumentRevision> documents = documents(1000);
        fleet.relays(ALMATY).forEach(relay -> fleet.listing(relay, documents));
        fleet.run(BOUND);
        String restarted = fleet.leaf(ALMATY);
        int before = fleet.messagesDelivered();

        fleet.restart(restarted);
        fleet.run(Duration.ofSeconds(6));

        assertEquals(fleet.exchangeOf(restarted).table().size(), documents.size());
        assertTrue(fleet.exchangeOf(restarted).pendingFetches() == 0);
        assertTrue(fleet.messagesDelivered() - before < 3 * documents.size(), "messages of one refill");
    }

    // A relay is replaced and lists thousands of documents. If it pushed each of them down the tree, entries that have
    // them
    // all would spend minutes of their traffic on the restart of one process.
    @Test
    public void should_not_push_documents_from_a_first_listing() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<DocumentRevision> documents = documents(100);
        fleet.relays(ALMATY).forEach(relay -> fleet.listing(relay, documents));
        fleet.run(BOUND);
        int before = fleet.messagesDelivered();

        for (String relay : fleet.relays(ALMATY)) {
            fleet.restart(relay);
            fleet.listing(relay, documents);
        }

        assertEquals(fleet.messagesDelivered(), before);
    }

    // A relay hears of a change from another relay a moment before its own watch shows it. If it then passed nothing
    // on,
    // the entries below it would wait seconds for their next comparison.
    @Test
    public void should_push_a_change_when_it_was_fetched_from_a_peer() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<String> relays = fleet.relays(ALMATY);
        relays.forEach(relay -> fleet.watchEvent(relay, drafting(1)));
        DocumentExchange late = fleet.exchangeOf(relays.getFirst());
        late.receivedHint(relays.getLast(), DRAFTING, 2);

        fleet.receive(relays.getFirst(), relays.getLast(), new DisseminationMessage.Update(drafting(2)));
        fleet.watchEvent(relays.getLast(), drafting(2));

        assertTrue(fleet.allHold(DRAFTING, 2));
    }

    // Half of the neighbours have just been killed and the view does not show it yet. Waiting a whole period for each
    // of
    // them would keep an old document in force beyond the bound.
    @Test
    public void should_compare_with_the_next_neighbour_when_one_does_not_answer() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 1);
        DocumentExchange exchange = fleet.exchangeOf(fleet.leaf(ALMATY));
        exchange.neighboursChanged(new Neighbours(false, List.of(), List.of("one", "two", "three")));

        List<String> compared = fleet.peersCompared(fleet.leaf(ALMATY), Duration.ofSeconds(3));

        assertEquals(compared.stream().distinct().count(), 3);
    }

    // A relay is killed in the moment a change is accepted, before it has passed it on. The entries below it would
    // never
    // hear of the change from it.
    @Test
    public void should_reach_every_entry_when_a_relay_is_killed_before_it_pushes_a_change() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        List<String> relays = fleet.relays(ALMATY);
        fleet.disconnect(relays.getFirst());
        fleet.watchEvent(relays.getFirst(), drafting(2));
        fleet.kill(relays.getFirst());

        fleet.watchEvent(relays.getLast(), drafting(2));
        fleet.run(BOUND);

        assertTrue(fleet.allHold(DRAFTING, 2));
        assertFalse(fleet.relays(ALMATY).contains(relays.getFirst()));
    }

    // The store was restored from a backup and an operator's change got a revision number that was in force before. Two
    // relays then hold different contents of one revision, and half of the entries would serve otherwise than the rest.
    @Test
    public void should_converge_on_one_content_and_count_the_conflict_when_two_contents_have_one_revision() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        DocumentRevision first = new DocumentRevision(DRAFTING, 4, "{\"roleChangePrice\": 1}");
        DocumentRevision second = new DocumentRevision(DRAFTING, 4, "{\"roleChangePrice\": 2}");
        fleet.watchEvent(fleet.relays(ALMATY).getFirst(), first);
        fleet.watchEvent(fleet.relays(ALMATY).getLast(), second);

        fleet.run(BOUND);

        long contents = fleet.processes().stream()
                .map(process ->
                        fleet.exchangeOf(process).find(DRAFTING).orElseThrow().content())
                .distinct()
                .count();
        assertEquals(contents, 1);
        assertTrue(fleet.processes().stream()
                .anyMatch(process -> fleet.exchangeOf(process).table().contentConflicts() > 0));
    }

    // An entry is cut off from all other entries but still reaches agents. Only the data path can tell it that its
    // document is old.
    @Test
    public void should_fetch_from_the_hinting_process_only_when_it_has_a_newer_revision() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 3);
        DocumentExchange exchange = fleet.exchangeOf(fleet.leaf(ALMATY));
        exchange.received("entry", new DisseminationMessage.Update(drafting(4)));

        assertEquals(exchange.receivedHint("agent-7", DRAFTING, 4), List.of());
        assertEquals(
                exchange.receivedHint("agent-7", DRAFTING, 5),
                List.of(new AddressedMessage("agent-7", new DisseminationMessage.FetchRequest(DRAFTING, 4))));
        assertEquals(exchange.receivedHint("agent-8", DRAFTING, 5), List.of());
    }

    @Test
    public void should_propagate_the_confirmed_age_of_relays() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 6);
        for (String relay : fleet.relays(ALMATY)) {
            fleet.listing(relay, List.of(drafting(1)));
            fleet.exchangeOf(relay).watchConfirmed();
        }

        fleet.run(Duration.ofSeconds(12));

        for (String process : fleet.processes()) {
            Duration age = fleet.exchangeOf(process).confirmedAge().orElseThrow();
            assertTrue(age.compareTo(Duration.ofSeconds(12)) <= 0, process + " " + age);
        }
    }

    private static DocumentRevision drafting(long revision) {
        return new DocumentRevision(DRAFTING, revision, "{\"revision\": " + revision + "}");
    }

    private static List<DocumentRevision> documents(int count) {
        List<DocumentRevision> documents = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            documents.add(new DocumentRevision(new DocumentKey("team-" + index, "drafting"), 1, "{}"));
        }
        return documents;
    }
}
