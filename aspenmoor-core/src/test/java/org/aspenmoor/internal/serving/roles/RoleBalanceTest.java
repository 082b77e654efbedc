package org.aspenmoor.internal.serving.roles;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.serving.BackendServer;
import org.aspenmoor.internal.serving.BackendState;
import org.testng.annotations.Test;

public class RoleBalanceTest {
    private final RoleBalance balance = new RoleBalance();

    @Test
    public void should_leave_three_of_eight_engines_for_answers_before_traffic_comes() {
        List<RoleMove> moves = balance.moves(engines(3, 5), true);

        assertEquals(moves.size(), 2);
        assertTrue(moves.stream().allMatch(move -> move.role() == EngineRole.PREFILL));
    }

    @Test
    public void should_leave_the_engines_for_answers_in_different_data_centres() {
        List<RoleMove> moves = balance.moves(engines(3, 5), true);
        List<BackendServer> stay = new ArrayList<>(engines(3, 5));
        moves.forEach(move -> stay.remove(move.server()));
        List<String> places = stay.stream()
                .filter(engine -> engine.role() == EngineRole.DECODE)
                .map(BackendServer::dataCentre)
                .distinct()
                .toList();

        assertEquals(places.size(), 3);
    }

    @Test
    public void should_want_nothing_where_the_roles_fit() {
        assertEquals(balance.moves(engines(5, 3), true), List.of());
        assertEquals(balance.moves(List.of(), true), List.of());
        assertEquals(balance.moves(engines(0, 1), true), List.of());
    }

    // An engine crashes and returns within seconds. If another changed its role to replace it, two engines would be
    // unavailable at once.
    @Test
    public void should_let_a_small_deviation_be_while_there_is_traffic() {
        assertEquals(balance.moves(engines(5, 2), false), List.of());
        assertEquals(balance.moves(engines(4, 4), false), List.of());
    }

    // Guards against ordering an engine back at once that is temporarily reassigned to long answers.
    @Test
    public void should_let_engines_be_that_are_lent_to_answers_while_there_is_traffic() {
        assertEquals(balance.moves(engines(6, 6), false), List.of());
        assertEquals(balance.moves(engines(5, 7), false).size(), 1);
    }

    // One of two decode engines leaves under load. The caches of all computed prompts are then transferred over the
    // link of the other, which takes seconds; a planned change of one engine costs less.
    @Test
    public void should_replace_an_engine_for_answers_where_one_is_left() {
        assertEquals(balance.moves(engines(6, 1), false).size(), 1);
        assertEquals(
                balance.moves(engines(2, 1), false),
                List.of(),
                "with three engines, another decode engine would leave too few for prefill");
    }

    // All decode engines are lost at once. Prompts are computed, but no engine can generate the answers.
    @Test
    public void should_make_one_engine_answer_where_none_does() {
        List<RoleMove> moves = balance.moves(engines(6, 0), false);

        assertEquals(moves.size(), 1);
        assertEquals(moves.getFirst().role(), EngineRole.DECODE);
    }

    @Test
    public void should_move_one_engine_at_a_time_while_there_is_traffic() {
        assertEquals(balance.moves(engines(1, 7), false).size(), 1);
    }

    @Test
    public void should_count_only_engines_that_take_work() {
        List<BackendServer> engines = new ArrayList<>(engines(5, 3));
        engines.add(engine("leaving", EngineRole.DECODE, "a", BackendState.DRAINING));

        assertEquals(balance.moves(engines, true), List.of());
    }

    private static List<BackendServer> engines(int prefill, int decode) {
        List<BackendServer> engines = new ArrayList<>();
        for (int number = 0; number < prefill; number++) {
            engines.add(engine("prefill-" + number, EngineRole.PREFILL, place(number), BackendState.READY));
        }
        for (int number = 0; number < decode; number++) {
            engines.add(engine("decode-" + number, EngineRole.DECODE, place(number), BackendState.READY));
        }
        return engines;
    }

    private static String place(int number) {
        return List.of("a", "b", "c").get(number % 3);
    }

    private static BackendServer engine(String id, EngineRole role, String place, BackendState state) {
        return new BackendServer(id, 1, "drafting", "127.0.0.1", 1, place, 128, state, role);
    }
}
