package org.aspenmoor.internal.gateway.request;

import org.aspenmoor.internal.serving.AssignedWork;

/** An attempt that is checked for stalls. */
sealed interface WatchedAttempt permits AnswerAttempt, PrefillAttempt {
    /** Returns whether any part of an answer has arrived. */
    boolean begun();

    AssignedWork work();

    /** Returns why the attempt is replaced if its server has stalled. */
    String stallReason();
}
