package org.aspenmoor.internal.planning;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class GoodputModelTest {
    private final GoodputModel model = new GoodputModel(PlannerSettings.defaults());

    @Test
    public void should_serve_all_requests_when_capacity_suffices() {
        assertEquals(model.goodputPerSecond(new RoleSplit(4, 4, 0), List.of(demand(3, 2, 0.1, 0.1))), 6, 1e-9);
    }

    @Test
    public void should_be_limited_by_one_stage_when_it_has_less_capacity() {
        double oneDecode = model.goodputPerSecond(new RoleSplit(7, 1, 0), List.of(demand(1, 100, 0.1, 0.1)));

        assertEquals(oneDecode, PlannerSettings.defaults().utilisation() / 0.1, 1e-9);
    }

    @Test
    public void should_serve_the_highest_weight_first_when_capacity_is_short() {
        List<KindDemand> demands = List.of(demand(10, 8, 0.1, 0.1), demand(1, 100, 0.1, 0.1));

        double goodput = model.goodputPerSecond(new RoleSplit(1, 1, 0), demands);

        assertEquals(goodput, 8 * 10 + 0.5, 1e-9);
    }

    @Test
    public void should_not_increase_goodput_when_an_engine_is_removed() {
        List<KindDemand> demands = List.of(demand(10, 12, 0.3, 0.1), demand(2, 30, 0.05, 0.2));
        for (int prefill = 1; prefill < 8; prefill++) {
            RoleSplit split = new RoleSplit(prefill, 8 - prefill, 2);
            RoleSplit smaller = new RoleSplit(prefill, 8 - prefill, 1);
            assertTrue(
                    model.goodputPerSecond(split, demands) >= model.goodputPerSecond(smaller, demands) - 1e-9,
                    split.toString());
        }
    }

    private static KindDemand demand(double weight, double rate, double prefill, double decode) {
        return new KindDemand(weight, rate, prefill, decode, 0.6);
    }
}
