package org.aspenmoor.internal.agent;

import org.aspenmoor.AspenmoorException;

/** A backend server's answer breaks its protocol. */
final class AnswerMalformedException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    AnswerMalformedException(String problem) {
        super(problem, "the backend server's answer", "Look at the backend server's own log.");
    }
}
