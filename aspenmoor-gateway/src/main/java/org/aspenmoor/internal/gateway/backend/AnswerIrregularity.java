package org.aspenmoor.internal.gateway.backend;

/** What a server has sent that an intact server does not send. */
public enum AnswerIrregularity {
    /** A head that the decoder has read from the parts of two heads. */
    JOINED_HEADS,

    /** A head with several values of a header that decides what the answer means. */
    SEVERAL_VALUES,

    /** An answer that does not name the request, to a request that has an id. */
    NO_REQUEST_ID,

    /** An answer that names another request. */
    OTHER_REQUEST,

    /** Bytes after a complete answer, before the next request. */
    UNREQUESTED_BYTES,

    /** Bytes that are no answer. */
    INVALID
}
