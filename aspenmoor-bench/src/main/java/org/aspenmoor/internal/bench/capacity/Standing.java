package org.aspenmoor.internal.bench.capacity;

/** How far a mechanism is. */
enum Standing {
    /** It is in the sources and its cost was measured on the real classes. */
    MEASURED("exists, measured"),
    /** It is in the sources; its cost here is reckoned. */
    EXISTS("exists"),
    /** It is not in the sources yet, or nothing uses it. */
    PLANNED("planned");

    private final String text;

    Standing(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
