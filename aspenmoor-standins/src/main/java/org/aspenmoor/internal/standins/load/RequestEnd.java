package org.aspenmoor.internal.standins.load;

/** How a request ended, as its caller sees it. */
enum RequestEnd {
    /** The complete, correct answer was received. */
    ANSWERED,
    /** Refused; the request did not run. */
    REFUSED,
    /** It is unknown whether the request ran: the entry reported so, or the connection broke. */
    UNKNOWN,
    /** The answer was cut off, and the caller can detect it. */
    CUT,
    /** The answer is well-formed, but incomplete, wrong, or the answer to another request. */
    BROKEN
}
