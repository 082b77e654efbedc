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

    // The watch of one relay misses an event without noticing. Without repair, the entries below that relay would
    // serve by the old document until the next change.
    @Test
    public void should_repair_within_the_bound_when_a_watch_misses_an_event() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String relay = fleet.relays(ALMATY).getFirst();

        fleet.watchEvent(relay, drafting(1));
        fleet.run(BOUND);

        assertTrue(fleet.allHold(DRAFTING, 1));
    }

    // A relay was paused and then pushes an old revision from its buffers. If it were applied, a change that is
    // already in force would be undone in every entry below the relay.
    @Test
    public void should_not_revert_and_should_update_the_relay_when_a_relay_sends_an_old_revision() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String outdatedRelay = fleet.relays(ALMATY).getLast();
        fleet.disconnect(outdatedRelay);
        fleet.watchEvent(fleet.relays(ALMATY).getFirst(), drafting(7));
        fleet.run(BOUND);
        fleet.reconnect(outdatedRelay);

        fleet.watchEvent(outdatedRelay, drafting(6));

        assertTrue(fleet.allHold(DRAFTING, 7));
    }

    // After a failover, the store serves a relay from a replica that lags by minutes and whose watch delivers no
    // events. The relay must not confirm its outdated table as current, or its data centre would keep serving by it.
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

    // A region is partitioned from the others for minutes, and changes are accepted in the meantime. When the
    // partition ends, it must receive the new documents within the bound, even while its replica of the store still
    // lags.
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

    // An entry is replaced by a new one without documents. Until it has loaded them, it refuses the requests of the
    // teams whose documents are missing. It must load all of them without flooding the data centre.
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
        assertTrue(
                fleet.messagesDelivered() - before < 3 * documents.size(),
                "messages to load the documents of one entry");
    }

    // A relay is replaced and lists thousands of documents. If it pushed each of them down the tree, the restart of
    // one process would cost minutes of traffic to entries that already have all documents.
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

    // A relay receives a change from another relay shortly before its own watch delivers it. If it did not push the
    // change, the entries below it would wait seconds for their next comparison.
    @Test
    public void should_push_a_change_when_it_was_fetched_from_a_peer() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<String> relays = fleet.relays(ALMATY);
        relays.forEach(relay -> fleet.watchEvent(relay, drafting(1)));
        DocumentExchange exchange = fleet.exchangeOf(relays.getFirst());
        exchange.receivedHint(relays.getLast(), DRAFTING, 2);

        fleet.receive(relays.getFirst(), relays.getLast(), new DisseminationMessage.Update(drafting(2)));
        fleet.watchEvent(relays.getLast(), drafting(2));

        assertTrue(fleet.allHold(DRAFTING, 2));
    }

    // Half of the neighbours have just been killed and are still in the view. Waiting a whole period for each of them
    // would keep an old document in force beyond the bound.
    @Test
    public void should_compare_with_the_next_neighbour_when_one_does_not_answer() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 1);
        DocumentExchange exchange = fleet.exchangeOf(fleet.leaf(ALMATY));
        exchange.neighboursChanged(new Neighbours(false, List.of(), List.of("one", "two", "three")));

        List<String> compared = fleet.peersCompared(fleet.leaf(ALMATY), Duration.ofSeconds(3));

        assertEquals(compared.stream().distinct().count(), 3);
    }

    // A relay is killed when a change is accepted, before it pushes the change. The entries below it must receive the
    // change from another process.
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

    // The store was restored from an older copy, and a change was given a revision number that had been in force
    // before. Two relays then hold different contents of one revision, and entries would serve by different
    // documents.
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

    // An entry has lost its links to all other entries but still reaches agents. It can only learn on the data path
    // that its document is outdated.
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
