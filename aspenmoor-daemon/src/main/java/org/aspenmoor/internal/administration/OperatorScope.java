package org.aspenmoor.internal.administration;

import org.aspenmoor.internal.document.ServiceName;

/** The services that an operator may see and change. */
public sealed interface OperatorScope {
    /** Value in the settings for the scope of the whole platform. */
    String PLATFORM = "platform";

    /** The services of all teams. */
    record WholePlatform() implements OperatorScope {}

    /**
     * The services of one team.
     *
     * @param team the team
     */
    record OneTeam(String team) implements OperatorScope {}

    /** Parses a scope from the settings: the name of a team, or {@value #PLATFORM}. */
    static OperatorScope of(String text) {
        return text.equals(PLATFORM) ? new WholePlatform() : new OneTeam(text);
    }

    /** Returns whether the services of a team are within the scope. */
    default boolean covers(String team) {
        return switch (this) {
            case WholePlatform whole -> true;
            case OneTeam one -> one.team().equals(team);
        };
    }

    /** Returns whether a service is within the scope. */
    default boolean covers(ServiceName name) {
        return covers(name.team());
    }
}
