package org.aspenmoor.internal.planning;

import java.util.List;

/**
 * What a split is worth after the present mix has ended.
 *
 * <p>The mixes of the past are expected to come back as they were. From then on one may either keep the split, or
 * follow each mix as it comes. Following is worth the same from every split but for the first move, so a present change
 * is charged with the change back, and no more: charging it with the whole rest of the horizon would make a planner
 * that has seen one mix for long stick to it.
 */
final class ContinuationValue {
    private static final double NOTICE_SECONDS = 2;
    private static final int LEAST_SEEN = 2;

    private final GoodputModel model;
    private final MoveCost moveCost;
    private final List<Segment> past;
    private final double seconds;
    private final double followingPerSecond;
    private double pastSeconds;

    ContinuationValue(GoodputModel model, MoveCost moveCost, List<Segment> past, double seconds) {
        this.model = model;
        this.moveCost = moveCost;
        this.past = past;
        this.seconds = seconds;
        for (Segment segment : past) {
            pastSeconds += segment.seconds();
        }
        this.followingPerSecond = past.isEmpty() ? 0 : following() / pastSeconds;
    }

    double of(RoleSplit split) {
        if (past.size() < LEAST_SEEN) {
            return 0;
        }
        double keeping = 0;
        double firstMove = 0;
        for (int number = 0; number < past.size(); number++) {
            Segment segment = past.get(number);
            double share = segment.seconds() / pastSeconds;
            keeping += share * model.perSecond(split, segment.demands());
            firstMove += moveLoss(split, segment.ideal(), segment) / past.size();
        }
        return Math.max(keeping * seconds, followingPerSecond * seconds - firstMove);
    }

    private double following() {
        double sum = 0;
        for (int number = 0; number < past.size(); number++) {
            Segment segment = past.get(number);
            RoleSplit before =
                    past.get(number == 0 ? past.size() - 1 : number - 1).ideal();
            double best = model.perSecond(segment.ideal(), segment.demands()) * segment.seconds();
            sum += best - moveLoss(before, segment.ideal(), segment);
        }
        return sum;
    }

    private double moveLoss(RoleSplit from, RoleSplit to, Segment segment) {
        if (from.equals(to)) {
            return 0;
        }
        double most = model.perSecond(to, segment.demands());
        double unnoticed = Math.min(NOTICE_SECONDS, segment.seconds());
        double stretch = Math.min(moveCost.awaySeconds(), segment.seconds() - unnoticed);
        return (most - model.perSecond(from, segment.demands())) * unnoticed
                + (most - model.perSecond(from.during(to), segment.demands())) * stretch
                + moveCost.price(from, to);
    }
}
