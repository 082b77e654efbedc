package org.aspenmoor.internal.standins.load;

/** How a request ended, as its caller sees it. */
enum RequestEnd {
    /** The whole right answer came. */
    ANSWERED,
    /** Refused with the word that it did not run. */
    REFUSED,
    /** The system says that nobody knows whether it ran, or the connection broke. */
    UNKNOWN,
    /** An answer began and was cut short in a way that its caller can tell from a whole one. */
    CUT,
    /** An answer came in good form that is short, wrong, or somebody else's. */
    BROKEN
}
