package org.aspenmoor.internal.standins.load;

/** How a request ended, as its caller sees it. */
enum Ending {
    /** The whole right answer came. */
    ANSWERED,
    /** Refused with the word that it did not run. */
    REFUSED,
    /** The system says that nobody knows whether it ran, or the connection broke. */
    UNKNOWN,
    /** An answer came that is cut short, wrong, or somebody else's. */
    BROKEN
}
