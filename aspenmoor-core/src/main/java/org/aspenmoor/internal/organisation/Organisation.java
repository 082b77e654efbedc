package org.aspenmoor.internal.organisation;

import java.util.Optional;

/**
 * An organisation whose callers send requests.
 *
 * @param name its name, which is passed to backend servers
 * @param priority the priority of its requests, 0 being the highest; empty if the route decides
 */
public record Organisation(String name, Optional<Integer> priority) {}
