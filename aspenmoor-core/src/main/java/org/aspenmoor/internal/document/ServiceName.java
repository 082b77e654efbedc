package org.aspenmoor.internal.document;

/**
 * Identifies a service of a team.
 *
 * @param team the team that owns the service
 * @param service the service's name, unique within the team
 */
public record ServiceName(String team, String service) implements Comparable<ServiceName> {
    /** Returns the name of the service that a document belongs to. */
    public static ServiceName of(ServiceDocument document) {
        return new ServiceName(document.team(), document.service());
    }

    @Override
    public int compareTo(ServiceName other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : service.compareTo(other.service);
    }

    @Override
    public String toString() {
        return team + "/" + service;
    }
}
