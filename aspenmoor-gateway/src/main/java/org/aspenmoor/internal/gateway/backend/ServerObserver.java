package org.aspenmoor.internal.gateway.backend;

import java.util.Optional;
import org.aspenmoor.internal.gateway.protocol.AnswerMetadata;
import org.aspenmoor.internal.serving.BackendServer;

/** Notified of the traffic with backend servers that concerns the server rather than a request. */
public interface ServerObserver {
    /** Returns why no call may be sent to a server now; empty if it may be. */
    Optional<String> callRefusal(BackendServer server);

    /** A call that is not an attempt of a request is sent to a server. */
    void callSent(BackendServer server);

    /**
     * The head of an answer from a server has been received, to an attempt or to any other call.
     *
     * @param sentAt when the request was sent, in nanoseconds of the monotonic clock
     */
    void answerReceived(BackendServer server, AnswerMetadata metadata, long sentAt);

    /** A server has sent something that an intact server does not send. */
    void irregularAnswerReceived(BackendServer server, IrregularAnswer answer);
}
