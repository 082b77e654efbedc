package org.aspenmoor.internal.planning;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class GoodputModelTest {
    private final GoodputModel model = new GoodputModel(PlannerSettings.usual());

    @Test
    public void should_serve_everything_where_there_is_room() {
        assertEquals(model.perSecond(new RoleSplit(4, 4, 0), List.of(demand(3, 2, 0.1, 0.1))), 6, 1e-9);
    }

    @Test
    public void should_be_bound_by_the_scarcer_stage() {
        double oneDecode = model.perSecond(new RoleSplit(7, 1, 0), List.of(demand(1, 100, 0.1, 0.1)));

        assertEquals(oneDecode, PlannerSettings.usual().utilisation() / 0.1, 1e-9);
    }

    @Test
    public void should_serve_the_heaviest_first() {
        List<KindDemand> demands = List.of(demand(10, 8, 0.1, 0.1), demand(1, 100, 0.1, 0.1));

        double goodput = model.perSecond(new RoleSplit(1, 1, 0), demands);

        assertEquals(goodput, 8 * 10 + 0.5, 1e-9);
    }

    @Test
    public void should_gain_nothing_from_an_engine_less() {
        List<KindDemand> demands = List.of(demand(10, 12, 0.3, 0.1), demand(2, 30, 0.05, 0.2));
        for (int prefill = 1; prefill < 8; prefill++) {
            RoleSplit split = new RoleSplit(prefill, 8 - prefill, 2);
            RoleSplit less = new RoleSplit(prefill, 8 - prefill, 1);
            assertTrue(model.perSecond(split, demands) >= model.perSecond(less, demands) - 1e-9, split.toString());
        }
    }

    private static KindDemand demand(double weight, double rate, double prefill, double decode) {
        return new KindDemand(weight, rate, prefill, decode, 0.6);
    }
}
