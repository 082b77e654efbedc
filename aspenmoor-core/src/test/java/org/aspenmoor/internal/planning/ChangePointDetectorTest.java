package org.aspenmoor.internal.planning;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ChangePointDetectorTest {
    private SplittableRandom random;

    @BeforeMethod
    public void start() {
        random = new SplittableRandom(11);
    }

    @Test
    public void should_take_all_counts_where_nothing_changed() {
        int alarms = 0;
        for (int run = 0; run < 100; run++) {
            List<double[]> counts = counts(60, 10, 5);
            alarms += ChangePointDetector.presentLength(counts) < counts.size() ? 1 : 0;
        }

        assertTrue(alarms <= 5, alarms + " false alarms in 100 runs");
    }

    @Test
    public void should_find_a_swing_within_three_seconds() {
        int found = 0;
        for (int run = 0; run < 100; run++) {
            List<double[]> counts = new ArrayList<>(counts(3, 2, 12));
            counts.addAll(counts(50, 12, 2));
            int length = ChangePointDetector.presentLength(counts);
            found += length >= 2 && length <= 4 ? 1 : 0;
        }

        assertTrue(found >= 95, found + " of 100 swings were found");
    }

    @Test
    public void should_find_the_last_of_several_changes() {
        List<double[]> counts = new ArrayList<>(counts(10, 12, 2));
        counts.addAll(counts(40, 2, 12));
        counts.addAll(counts(40, 12, 2));

        assertEquals(ChangePointDetector.presentLength(counts), 10, 1);
    }

    private List<double[]> counts(int seconds, double one, double other) {
        List<double[]> counts = new ArrayList<>();
        for (int second = 0; second < seconds; second++) {
            counts.add(new double[] {poisson(one), poisson(other)});
        }
        return counts;
    }

    private double poisson(double mean) {
        double product = 1;
        int count = -1;
        while (product > Math.exp(-mean)) {
            product *= random.nextDouble();
            count++;
        }
        return count;
    }
}
