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
    public void createRandom() {
        random = new SplittableRandom(11);
    }

    @Test
    public void should_use_all_counts_when_the_mix_did_not_change() {
        int falseAlarms = 0;
        for (int run = 0; run < 100; run++) {
            List<double[]> counts = counts(60, 10, 5);
            falseAlarms += ChangePointDetector.currentMixLength(counts) < counts.size() ? 1 : 0;
        }

        assertTrue(falseAlarms <= 5, falseAlarms + " false alarms in 100 runs");
    }

    @Test
    public void should_detect_a_change_when_it_is_three_seconds_old() {
        int detected = 0;
        for (int run = 0; run < 100; run++) {
            List<double[]> counts = new ArrayList<>(counts(3, 2, 12));
            counts.addAll(counts(50, 12, 2));
            int length = ChangePointDetector.currentMixLength(counts);
            detected += length >= 2 && length <= 4 ? 1 : 0;
        }

        assertTrue(detected >= 95, detected + " of 100 changes were detected");
    }

    @Test
    public void should_find_the_last_change_when_there_are_several() {
        List<double[]> counts = new ArrayList<>(counts(10, 12, 2));
        counts.addAll(counts(40, 2, 12));
        counts.addAll(counts(40, 12, 2));

        assertEquals(ChangePointDetector.currentMixLength(counts), 10, 1);
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
