package org.aspenmoor.internal.serving.speed;

import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * A load on servers of different speed whose hosts are slow at times.
 *
 * @param entries number of entries
 * @param fleet the servers
 * @param knowledge what the servers or the entries know of the slow phases
 * @param lostReports part of the reports among entries that get lost, and as many of the others are late
 * @param killed entries that are killed and start again two seconds later
 */
record SpeedScenario(int entries, Fleet fleet, Knowledge knowledge, double lostReports, Set<Integer> killed) {
    /** What is known of the slow phases. */
    enum Knowledge {
        /** Servers state no slowdown. */
        NONE,
        /** Servers state their slowdown with each answer. */
        STATED,
        /** Each request goes where it will be answered first, given all queues and the slow phases of the future. */
        PERFECT
    }

    /**
     * Servers of one service and the load on them.
     *
     * @param servers number of servers
     * @param speeds their speeds, in turn
     * @param slots requests that a server states that it processes concurrently
     * @param parallelism requests that a server works on concurrently
     * @param work how long a request takes at speed 1, in nanoseconds
     * @param requestsPerSecond requests at all entries together
     * @param promptTokens length of the prompts; zero if the service is a plain one
     */
    record Fleet(
            int servers,
            List<Double> speeds,
            int slots,
            int parallelism,
            long work,
            double requestsPerSecond,
            int promptTokens) {
        /** Half loaded plain servers. */
        static Fleet plain() {
            long work = Duration.ofMillis(20).toNanos();
            return new Fleet(3, List.of(1.0, 1.0, 0.5), 6, 6, work, 375, 0);
        }

        /** Engines that differ in speed by a factor of 2.4. */
        static Fleet engines() {
            int promptTokens = 9200;
            long work = (long) (SpeedSimulation.ENGINE_SPEED.prefillSeconds(promptTokens) * SpeedSimulation.SECOND);
            return new Fleet(38, List.of(1 / 0.7, 1 / 0.7, 1 / 1.7), 64, 1, work, 129, promptTokens);
        }
    }
}
