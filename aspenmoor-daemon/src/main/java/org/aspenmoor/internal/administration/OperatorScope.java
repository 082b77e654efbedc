package org.aspenmoor.internal.administration;

import org.aspenmoor.internal.document.ServiceName;

/** What an operator may see and change. */
public sealed interface OperatorScope {
    /** How settings write the scope of the whole platform. */
    String PLATFORM = "platform";

    /** Everything. */
    record WholePlatform() implements OperatorScope {}

    /**
     * One team's services.
     *
     * @param team the team
     */
    record OneTeam(String team) implements OperatorScope {}

    /** Reads a scope as settings write it: a team's name, or {@value #PLATFORM}. */
    static OperatorScope of(String text) {
        return text.equals(PLATFORM) ? new WholePlatform() : new OneTeam(text);
    }

    /** Says whether a team's services are within the scope. */
    default boolean covers(String team) {
        return switch (this) {
            case WholePlatform whole -> true;
            case OneTeam one -> one.team().equals(team);
        };
    }

    /** Says whether a service is within the scope. */
    default boolean covers(ServiceName name) {
        return covers(name.team());
    }
}
