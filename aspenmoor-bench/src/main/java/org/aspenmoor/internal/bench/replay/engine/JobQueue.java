package org.aspenmoor.internal.bench.replay.engine;

import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Queue of jobs at an engine, ordered by priority and then by sequence. */
final class JobQueue {
    private final PriorityQueue<EngineJob> jobs = new PriorityQueue<>(EngineJob.BY_PRIORITY);

    void add(EngineJob job) {
        jobs.add(job);
    }

    Optional<EngineJob> peek() {
        return Optional.ofNullable(jobs.peek());
    }

    Optional<EngineJob> take() {
        return Optional.ofNullable(jobs.poll());
    }

    boolean remove(EngineJob job) {
        return jobs.remove(job);
    }

    int size() {
        return jobs.size();
    }

    void drainTo(List<EngineJob> target) {
        target.addAll(jobs);
        jobs.clear();
    }
}
