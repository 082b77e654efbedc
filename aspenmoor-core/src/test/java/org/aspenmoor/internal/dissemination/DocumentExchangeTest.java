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
    public void should_bring_a_watched_change_to_every_entry_at_once() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);

        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(1)));

        assertTrue(fleet.everyoneHas(DRAFTING, 1));
    }

    @Test
    public void should_send_each_entry_about_one_copy_of_a_change() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 44);

        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(1)));

        assertEquals(fleet.messagesDelivered(), 44 - fleet.relays(ALMATY).size());
    }

    // A relay's watch loses an event and goes on as if nothing had happened. Callers of the team would be served by the
    // old document at that relay's entries until the next change.
    @Test
    public void should_repair_a_gap_in_one_watch_within_the_bound() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String seeing = fleet.relays(ALMATY).getFirst();

        fleet.watchEvent(seeing, drafting(1));
        fleet.run(BOUND);

        assertTrue(fleet.everyoneHas(DRAFTING, 1));
    }

    // A relay was paused and then sends on what it had in its buffers. A change that is already in force would be
    // undone
    // for the callers of every entry below it.
    @Test
    public void should_not_be_moved_back_by_a_stale_relay_and_should_bring_it_forward() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String stale = fleet.relays(ALMATY).getLast();
        fleet.cutOff(stale);
        fleet.watchEvent(fleet.relays(ALMATY).getFirst(), drafting(7));
        fleet.run(BOUND);
        fleet.heal(stale);

        fleet.watchEvent(stale, drafting(6));

        assertTrue(fleet.everyoneHas(DRAFTING, 7));
    }

    // After a failover the store answers a relay from a replica that is minutes behind, and that replica's watch stays
    // silent. The relay would vouch for an old table, and its data centre would serve on by it without any doubt.
    @Test
    public void should_not_vouch_for_its_table_while_an_old_replica_serves_its_watch() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        String relay = fleet.relays(ALMATY).getFirst();
        fleet.receive(relay, fleet.leaf(ALMATY), new DisseminationMessage.Update(drafting(7)));

        fleet.listing(relay, List.of(drafting(5)));
        fleet.at(relay).storeConfirmed();

        assertEquals(fleet.revisionAt(relay, DRAFTING), 7);
        assertTrue(fleet.at(relay).confirmedAge().isEmpty());

        fleet.watchEvent(relay, drafting(7));
        fleet.at(relay).storeConfirmed();
        assertEquals(fleet.at(relay).confirmedAge().orElseThrow(), Duration.ZERO);
    }

    // A region loses the others for minutes and changes are accepted meanwhile. Once the partition heals its callers
    // must
    // get the new documents within the bound, also while the store's replica on their side is still behind.
    @Test
    public void should_catch_up_from_another_data_centre_after_a_partition() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        fleet.addDataCentre(LIMA, 8);
        List<String> lost =
                fleet.processes().stream().filter(name -> name.startsWith(LIMA)).toList();
        lost.forEach(fleet::cutOff);
        fleet.relays(ALMATY).forEach(relay -> fleet.watchEvent(relay, drafting(3)));
        fleet.run(Duration.ofMinutes(3));

        lost.forEach(fleet::heal);
        fleet.run(BOUND);

        assertTrue(fleet.everyoneHas(DRAFTING, 3));
    }

    // An entry is replaced by a fresh one that knows nothing. Until it has caught up it would refuse the teams whose
    // documents it lacks; it must neither flood the data centre nor go on without them.
    @Test
    public void should_refill_a_restarted_entry_with_bounded_asks() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<KnownDocument> documents = documents(1000);
        fleet.relays(ALMATY).forEach(relay -> fleet.listing(relay, documents));
        fleet.run(BOUND);
        String restarted = fleet.leaf(ALMATY);
        int before = fleet.messagesDelivered();

        fleet.restart(restarted);
        fleet.run(Duration.ofSeconds(6));

        assertEquals(fleet.at(restarted).table().size(), documents.size());
        assertTrue(fleet.at(restarted).documentsWanted() == 0);
        assertTrue(fleet.messagesDelivered() - before < 3 * documents.size(), "messages of one refill");
    }

    // A relay is replaced and lists thousands of documents. If it pushed each of them down the tree, entries that have
    // them
    // all would spend minutes of their traffic on the restart of one process.
    @Test
    public void should_not_push_a_first_listing_to_those_who_have_it() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<KnownDocument> documents = documents(100);
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
    public void should_push_a_change_that_it_learned_by_asking() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 8);
        List<String> relays = fleet.relays(ALMATY);
        relays.forEach(relay -> fleet.watchEvent(relay, drafting(1)));
        DocumentExchange late = fleet.at(relays.getFirst());
        late.hinted(relays.getLast(), DRAFTING, 2);

        fleet.receive(relays.getFirst(), relays.getLast(), new DisseminationMessage.Update(drafting(2)));
        fleet.watchEvent(relays.getLast(), drafting(2));

        assertTrue(fleet.everyoneHas(DRAFTING, 2));
    }

    // Half of the neighbours have just been killed and the view does not show it yet. Waiting a whole period for each
    // of
    // them would keep an old document in force beyond the bound.
    @Test
    public void should_ask_the_next_neighbour_soon_when_one_is_silent() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 1);
        DocumentExchange exchange = fleet.at(fleet.leaf(ALMATY));
        exchange.neighboursChanged(new Neighbours(false, List.of(), List.of("one", "two", "three")));

        List<String> asked = fleet.peersAsked(fleet.leaf(ALMATY), Duration.ofSeconds(3));

        assertEquals(asked.stream().distinct().count(), 3);
    }

    // A relay is killed in the moment a change is accepted, before it has passed it on. The entries below it would
    // never
    // hear of the change from it.
    @Test
    public void should_reach_everyone_when_a_relay_is_killed_before_it_passes_a_change_on() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        List<String> relays = fleet.relays(ALMATY);
        fleet.cutOff(relays.getFirst());
        fleet.watchEvent(relays.getFirst(), drafting(2));
        fleet.kill(relays.getFirst());

        fleet.watchEvent(relays.getLast(), drafting(2));
        fleet.run(BOUND);

        assertTrue(fleet.everyoneHas(DRAFTING, 2));
        assertFalse(fleet.relays(ALMATY).contains(relays.getFirst()));
    }

    // The store was restored from a backup and an operator's change got a revision number that was in force before. Two
    // relays then hold different contents of one revision, and half of the entries would serve otherwise than the rest.
    @Test
    public void should_settle_two_contents_of_one_revision_alike_everywhere_and_count_them() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 12);
        KnownDocument first = new KnownDocument(DRAFTING, 4, "{\"roleChangePrice\": 1}");
        KnownDocument second = new KnownDocument(DRAFTING, 4, "{\"roleChangePrice\": 2}");
        fleet.watchEvent(fleet.relays(ALMATY).getFirst(), first);
        fleet.watchEvent(fleet.relays(ALMATY).getLast(), second);

        fleet.run(BOUND);

        long contents = fleet.processes().stream()
                .map(process -> fleet.at(process).find(DRAFTING).orElseThrow().content())
                .distinct()
                .count();
        assertEquals(contents, 1);
        assertTrue(fleet.processes().stream()
                .anyMatch(process -> fleet.at(process).table().conflictingContents() > 0));
    }

    // An entry is cut off from all other entries but still reaches agents. Only the data path can tell it that its
    // document is old.
    @Test
    public void should_ask_whoever_hints_at_a_newer_revision_and_only_then() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 3);
        DocumentExchange exchange = fleet.at(fleet.leaf(ALMATY));
        exchange.received("entry", new DisseminationMessage.Update(drafting(4)));

        assertEquals(exchange.hinted("agent-7", DRAFTING, 4), List.of());
        assertEquals(
                exchange.hinted("agent-7", DRAFTING, 5),
                List.of(new Outgoing("agent-7", new DisseminationMessage.Ask(DRAFTING, 4))));
        assertEquals(exchange.hinted("agent-8", DRAFTING, 5), List.of());
    }

    @Test
    public void should_pass_on_to_others_how_long_ago_a_relay_was_confirmed() {
        ExchangeFleet fleet = new ExchangeFleet(ALMATY, 6);
        for (String relay : fleet.relays(ALMATY)) {
            fleet.listing(relay, List.of(drafting(1)));
            fleet.at(relay).storeConfirmed();
        }

        fleet.run(Duration.ofSeconds(12));

        for (String process : fleet.processes()) {
            Duration age = fleet.at(process).confirmedAge().orElseThrow();
            assertTrue(age.compareTo(Duration.ofSeconds(12)) <= 0, process + " " + age);
        }
    }

    private static KnownDocument drafting(long revision) {
        return new KnownDocument(DRAFTING, revision, "{\"revision\": " + revision + "}");
    }

    private static List<KnownDocument> documents(int count) {
        List<KnownDocument> documents = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            documents.add(new KnownDocument(new DocumentKey("team-" + index, "drafting"), 1, "{}"));
        }
        return documents;
    }
}
