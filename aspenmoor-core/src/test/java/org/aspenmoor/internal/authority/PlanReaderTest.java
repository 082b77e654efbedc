package org.aspenmoor.internal.authority;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoredObject;
import org.testng.annotations.Test;

public class PlanReaderTest {
    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ROLE_PLAN, "hojas", "hazard.lima-1");

    // A watch is restarted and served by an outdated replica, so that plans arrive twice and out of order. An agent
    // that executed all of them would change its engine back and forth.
    @Test
    public void should_ignore_plan_when_version_is_not_higher() throws StoreMalformedException {
        PlanReader reader = new PlanReader();
        reader.offer(stored(plan("a", 3, 9)));

        assertTrue(reader.offer(stored(plan("b", 3, 8))).isEmpty());
        assertTrue(reader.offer(stored(plan("c", 2, 30))).isEmpty());
        assertTrue(reader.offer(stored(plan("renewal", 3, 9))).isEmpty());
        assertEquals(reader.version(), new PlanVersion(3, 9));

        assertTrue(reader.offer(stored(plan("d", 4, 9))).isPresent());
        assertEquals(reader.version(), new PlanVersion(4, 9));
    }

    @Test
    public void should_return_equal_plan_when_encoded_and_decoded() throws StoreMalformedException {
        PlanRecord plan = plan("n", 5, 6);

        assertEquals(PlanCodec.read(stored(plan)), plan);
    }

    private static PlanRecord plan(String nonce, long term, long revision) {
        EngineAssignment assignment = new EngineAssignment(
                EngineRole.DECODE,
                List.of(
                        new LoadItem("hazard", Optional.empty(), "4"),
                        new LoadItem("hazard", Optional.of("mining"), "2")));
        return new PlanRecord(
                "entry-1",
                nonce,
                new PlanVersion(term, revision),
                Duration.ofSeconds(10),
                Instant.EPOCH,
                false,
                Map.of("engine-1", assignment));
    }

    private static StoredObject stored(PlanRecord plan) {
        return new StoredObject(KEY, plan.nonce(), PlanCodec.write(plan));
    }
}
