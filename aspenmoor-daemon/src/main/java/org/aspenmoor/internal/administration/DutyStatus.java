package org.aspenmoor.internal.administration;

import java.util.Optional;

/**
 * Status of a duty, which is a coordination task that one process performs for others.
 *
 * @param duty name of the task, such as {@code planner} or {@code document relay}
 * @param team team that it concerns; empty if it concerns the whole platform
 * @param service service that it concerns; empty if it concerns no single service
 * @param dataCentre data centre in which it is performed
 * @param holder process that performs it; empty if none does
 * @param term fencing number of its lease; 0 if it has no lease
 * @param detail explanation in one sentence, such as the remaining time of the lease
 */
public record DutyStatus(
        String duty,
        Optional<String> team,
        Optional<String> service,
        String dataCentre,
        Optional<String> holder,
        long term,
        String detail) {}
