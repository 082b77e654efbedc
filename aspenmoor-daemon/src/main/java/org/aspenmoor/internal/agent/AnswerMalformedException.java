package org.aspenmoor.internal.agent;

import org.aspenmoor.AspenmoorException;

/** Thrown when the answer of a backend server violates its protocol. */
final class AnswerMalformedException extends AspenmoorException {
    private static final long serialVersionUID = 1L;

    AnswerMalformedException(String problem) {
        super(problem, "the backend server's answer", "Check the log of the backend server.");
    }
}
