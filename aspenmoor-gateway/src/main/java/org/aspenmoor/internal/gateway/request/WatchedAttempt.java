package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AssignedWork;

/** An attempt that may turn out to have stalled. */
sealed interface WatchedAttempt permits AnswerAttempt, PrefillAttempt {
    /** Returns whether any part of an answer came. */
    boolean begun();

    AssignedWork work();
}
