package org.aspenmoor.internal.serving.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.testng.annotations.Test;

public class RoleRatioPolicyTest {
    private final RoleRatioPolicy policy = new RoleRatioPolicy();

    @Test
    public void should_keep_three_of_eight_engines_decoding_when_there_is_no_traffic() {
        List<PlannedRoleChange> changes = policy.plannedChanges(engines(3, 5), true);

        assertEquals(changes.size(), 2);
        assertTrue(changes.stream().allMatch(change -> change.role() == EngineRole.PREFILL));
    }

    @Test
    public void should_spread_decode_engines_over_data_centres_when_changing_roles() {
        List<PlannedRoleChange> changes = policy.plannedChanges(engines(3, 5), true);
        List<BackendServer> unchanged = new ArrayList<>(engines(3, 5));
        changes.forEach(change -> unchanged.remove(change.server()));
        List<String> dataCentres = unchanged.stream()
                .filter(engine -> engine.role() == EngineRole.DECODE)
                .map(BackendServer::dataCentre)
                .distinct()
                .toList();

        assertEquals(dataCentres.size(), 3);
    }

    @Test
    public void should_plan_no_change_when_the_roles_fit() {
        assertEquals(policy.plannedChanges(engines(5, 3), true), List.of());
        assertEquals(policy.plannedChanges(List.of(), true), List.of());
        assertEquals(policy.plannedChanges(engines(0, 1), true), List.of());
    }

    // An engine crashes and returns within seconds. If another changed its role to replace it, two engines would be
    // unavailable at once.
    @Test
    public void should_tolerate_a_small_deviation_when_there_is_traffic() {
        assertEquals(policy.plannedChanges(engines(5, 2), false), List.of());
        assertEquals(policy.plannedChanges(engines(4, 4), false), List.of());
    }

    // Guards against ordering an engine back at once that is temporarily reassigned to long answers.
    @Test
    public void should_tolerate_engines_reassigned_to_decoding_when_there_is_traffic() {
        assertEquals(policy.plannedChanges(engines(6, 6), false), List.of());
        assertEquals(policy.plannedChanges(engines(5, 7), false).size(), 1);
    }

    // One of two decode engines leaves under load. The caches of all computed prompts are then transferred over the
    // link of the other, which takes seconds; a planned change of one engine costs less.
    @Test
    public void should_replace_a_decode_engine_when_only_one_is_left() {
        assertEquals(policy.plannedChanges(engines(6, 1), false).size(), 1);
        assertEquals(
                policy.plannedChanges(engines(2, 1), false),
                List.of(),
                "with three engines, another decode engine would leave too few for prefill");
    }

    // All decode engines are lost at once. Prompts are computed, but no engine can generate the answers.
    @Test
    public void should_change_one_engine_to_decode_when_none_decodes() {
        List<PlannedRoleChange> changes = policy.plannedChanges(engines(6, 0), false);

        assertEquals(changes.size(), 1);
        assertEquals(changes.getFirst().role(), EngineRole.DECODE);
    }

    @Test
    public void should_change_one_engine_at_a_time_when_there_is_traffic() {
        assertEquals(policy.plannedChanges(engines(1, 7), false).size(), 1);
    }

    @Test
    public void should_count_only_ready_engines_when_others_are_draining() {
        List<BackendServer> engines = new ArrayList<>(engines(5, 3));
        engines.add(engine("leaving", EngineRole.DECODE, "a", BackendState.DRAINING));

        assertEquals(policy.plannedChanges(engines, true), List.of());
    }

    // Guards against a version with a single decode engine: if that one fails, nothing may continue its streams.
    @Test
    public void should_change_an_engine_to_decode_whose_version_has_a_single_decode_engine() {
        List<BackendServer> engines = List.of(
                versioned("new-decode", "new", EngineRole.DECODE),
                versioned("old-prefill-1", "old", EngineRole.PREFILL),
                versioned("old-prefill-2", "old", EngineRole.PREFILL),
                versioned("new-prefill", "new", EngineRole.PREFILL));

        assertEquals(changedEngines(engines), List.of("new-prefill"));
    }

    // Guards against a pair of decode engines of which only one is left though a single one could have been changed.
    @Test
    public void should_change_the_only_decode_engine_of_its_version_to_prefill_rather_than_one_of_two() {
        List<BackendServer> engines = List.of(
                versioned("old-decode-1", "old", EngineRole.DECODE),
                versioned("old-decode-2", "old", EngineRole.DECODE),
                versioned("some-decode", "new", EngineRole.DECODE),
                versioned("prefill", "old", EngineRole.PREFILL));

        assertEquals(changedEngines(engines), List.of("some-decode"));
    }

    private List<String> changedEngines(List<BackendServer> engines) {
        return policy.plannedChanges(engines, true).stream()
                .map(change -> change.server().id())
                .toList();
    }

    private static BackendServer versioned(String id, String version, EngineRole role) {
        return new BackendServer(
                id, 1, "drafting", new SoftwareVersion(version), "127.0.0.1", 1, "a", 128, BackendState.READY, role);
    }

    private static List<BackendServer> engines(int prefill, int decode) {
        List<BackendServer> engines = new ArrayList<>();
        for (int number = 0; number < prefill; number++) {
            engines.add(engine("prefill-" + number, EngineRole.PREFILL, dataCentre(number), BackendState.READY));
        }
        for (int number = 0; number < decode; number++) {
            engines.add(engine("decode-" + number, EngineRole.DECODE, dataCentre(number), BackendState.READY));
        }
        return engines;
    }

    private static String dataCentre(int number) {
        return List.of("a", "b", "c").get(number % 3);
    }

    private static BackendServer engine(String id, EngineRole role, String dataCentre, BackendState state) {
        return new BackendServer(
                id, 1, "drafting", new SoftwareVersion("one"), "127.0.0.1", 1, dataCentre, 128, state, role);
    }
}
