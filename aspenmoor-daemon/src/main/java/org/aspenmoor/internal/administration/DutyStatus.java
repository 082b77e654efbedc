package org.aspenmoor.internal.administration;

import java.util.Optional;

/**
 * Who holds a duty.
 *
 * @param duty what the duty is, such as {@code planner} or {@code document relay}
 * @param team the team it is for; empty for the platform's duties
 * @param service the service it is for, if it is for one
 * @param dataCentre where it is carried
 * @param holder the process that holds it; empty where nobody does
 * @param term the fencing number of its lease; 0 for duties without a lease
 * @param detail one sentence, such as how long the lease still runs
 */
public record DutyStatus(
        String duty,
        Optional<String> team,
        Optional<String> service,
        String dataCentre,
        Optional<String> holder,
        long term,
        String detail) {}
