package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.aspenmoor.internal.time.ManualTimeSource;
import org.testng.annotations.Test;

public class DocumentRegistryTest {
    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final DocumentRegistry registry = new DocumentRegistry(timeSource);
    private final ServiceDocument document = DocumentTexts.drafting();
    private final ServiceName name = ServiceName.of(document);

    @Test
    public void should_never_apply_a_lower_revision_when_revisions_arrive_out_of_order() {
        // A watch with gaps, an outdated relay and the data path deliver revisions late, twice and out of order. If a
        // lower revision were applied, this process would undo an accepted change.
        List<Long> revisions = new ArrayList<>();
        for (long revision = 1; revision <= 50; revision++) {
            revisions.add(revision);
            revisions.add(revision);
        }
        Collections.shuffle(revisions, new Random(11));
        DocumentRegistry fresh = new DocumentRegistry(timeSource);
        long highest = 0;

        for (long revision : revisions) {
            OfferResult result = fresh.offer(document.withRevision(revision));

            assertEquals(result == OfferResult.APPLIED, revision > highest);
            highest = Math.max(highest, revision);
            assertEquals(fresh.revision(name), highest);
        }
    }

    @Test
    public void should_report_when_a_document_came_into_force() {
        registry.offer(document.withRevision(3));
        timeSource.advance(Duration.ofSeconds(5));

        assertEquals(registry.offer(document.withRevision(3)), OfferResult.ALREADY_HELD);
        assertEquals(registry.offer(document.withRevision(2)), OfferResult.OLDER);

        DocumentInForce inForce = registry.inForce(name).orElseThrow();
        assertEquals(Duration.between(inForce.appliedAt(), timeSource.wallClockTime()), Duration.ofSeconds(5));
    }

    @Test
    public void should_reject_different_content_when_the_revision_is_the_same() {
        DocumentRegistry fresh = new DocumentRegistry(timeSource);
        fresh.offer(document.withRevision(4));
        ServiceDocument other = new ServiceDocument(
                document.team(),
                document.service(),
                4,
                document.models(),
                document.kinds(),
                99,
                document.callerTokenHashes(),
                document.backends());

        assertEquals(fresh.offer(other), OfferResult.CONTRADICTS);
        assertEquals(fresh.find(name).orElseThrow().roleChangePrice(), 40.0);
    }
}
