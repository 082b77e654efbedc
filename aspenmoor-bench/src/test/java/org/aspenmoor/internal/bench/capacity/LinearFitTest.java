package org.aspenmoor.internal.bench.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

public class LinearFitTest {
    private static final double TOLERANCE = 1e-9;

    @Test
    public void should_find_an_exact_line_without_uncertainty() {
        LinearFit fit = LinearFit.of(List.of(new SizePoint(1, 5), new SizePoint(2, 7), new SizePoint(4, 11)));

        assertEquals(fit.slope(), 2, TOLERANCE);
        assertEquals(fit.intercept(), 3, TOLERANCE);
        assertEquals(fit.slopeUncertainty(), 0, 1e-6);
        assertEquals(fit.determination(), 1, TOLERANCE);
    }

    @Test
    public void should_give_the_interval_that_the_textbook_gives() {
        LinearFit fit = LinearFit.of(List.of(
                new SizePoint(1, 2),
                new SizePoint(2, 4),
                new SizePoint(3, 5),
                new SizePoint(4, 4),
                new SizePoint(5, 5)));

        assertEquals(fit.slope(), 0.6, TOLERANCE);
        assertEquals(fit.slopeUncertainty(), 3.182 * Math.sqrt(2.4 / 3 / 10), TOLERANCE);
        assertTrue(fit.determination() > 0.5 && fit.determination() < 0.7);
    }

    @Test
    public void should_refuse_two_points() {
        assertThrows(
                IllegalArgumentException.class, () -> LinearFit.of(List.of(new SizePoint(1, 2), new SizePoint(2, 4))));
    }
}
