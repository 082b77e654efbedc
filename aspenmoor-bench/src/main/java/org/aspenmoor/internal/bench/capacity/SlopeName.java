package org.aspenmoor.internal.bench.capacity;

/** The costs that are measured. */
enum SlopeName {
    HEAP_PER_DOCUMENT("heap of a known document, unparsed, with its digest line"),
    HEAP_PER_PARSED_DOCUMENT("heap of a parsed document"),
    HEAP_PER_TEAM_QUEUED("heap of a team with one waiting request"),
    HEAP_PER_ENGINE_VIEW("heap of an engine in the router, reported"),
    HEAP_PER_INDEXED_PIECE("heap of a cache piece in the prefix index"),
    HEAP_PER_STREAM("heap of an answer being put together at an entry, with its request out"),
    HEAP_PER_KEY("heap of a key of an organisation, three keys each"),
    HEAP_PER_LINK("heap of both ends of an open link"),
    ENCODE_CHUNK("processor time to encode a chunk frame"),
    DECODE_CHUNK("processor time to decode a chunk frame"),
    ASSEMBLE_CHUNK("processor time to check a chunk and count it"),
    ENCODE_DISPATCH("processor time to encode a dispatch of an 8 KB prompt"),
    DECODE_DISPATCH("processor time to decode a dispatch of an 8 KB prompt"),
    ENCODE_LOAD_REPORT("processor time to encode a load report"),
    DECODE_LOAD_REPORT("processor time to decode a load report"),
    TAKE_LOAD_REPORT("processor time to take a load report into the router"),
    ROUTE("processor time to route a request, note it sent and ended, 8 engines of its model"),
    ADMIT_PER_TEAM("processor time to queue and take 1,000 requests, per team waiting in the pool's queue"),
    PARSE_DOCUMENT("processor time to parse a document"),
    APPLY_DOCUMENT("processor time to take an update and decode its frame"),
    COMPARE_EQUAL("processor time of both sides to compare equal tables, frames included"),
    COMPARE_ONE_CHANGE("processor time of both sides to find and fetch one changed document of 3,500"),
    APPLY_KEY("processor time to apply a configuration, per key"),
    LOOK_UP_KEY("processor time to look up the key of a request among 10,000, half of them unknown"),
    VIEW_CHANGE("processor time to work out an entry's neighbours, per entry of the data centre"),
    SUBSET_CHANGE("processor time to choose the subset of a group of 8 agents, per entry of the data centre");

    private final String text;

    SlopeName(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }
}
