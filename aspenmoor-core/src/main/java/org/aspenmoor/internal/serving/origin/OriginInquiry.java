package org.aspenmoor.internal.serving.origin;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** An open question about a stream, and the replies to it so far. */
public final class OriginInquiry {
    private final OriginQuestion question;
    private final List<String> services;
    private final Set<String> unheard;
    private final Set<String> expected;
    private final Consumer<ResumeDecision> listener;
    private OriginKnowledge knowledge = new OriginKnowledge.Unknown();
    private boolean informed;
    private boolean ended;

    /**
     * Creates an inquiry.
     *
     * @param services the services that may serve the request
     * @param asked the entries that are asked
     * @param expected those of them that will probably reply; the others are not waited for
     * @param listener receives the decision, unless the inquiry is cancelled
     */
    OriginInquiry(
            OriginQuestion question,
            List<String> services,
            Collection<String> asked,
            Collection<String> expected,
            Consumer<ResumeDecision> listener) {
        this.question = question;
        this.services = List.copyOf(services);
        this.unheard = new HashSet<>(asked);
        this.expected = new HashSet<>(expected);
        this.listener = listener;
    }

    /** Ends the inquiry without a decision, because nobody waits for it any more. */
    public void cancel() {
        ended = true;
    }

    OriginQuestion question() {
        return question;
    }

    List<String> services() {
        return services;
    }

    boolean ended() {
        return ended;
    }

    /** Returns the entries that have not replied. */
    Set<String> unheard() {
        return unheard;
    }

    /** Adds a reply; the first one that knows the stream counts. */
    void add(OriginReply reply) {
        informed |= reply.informed();
        unheard.remove(reply.entry());
        expected.remove(reply.entry());
        add(reply.origin());
    }

    /** Adds what has been read from the store. */
    void add(OriginKnowledge recorded) {
        if (knowledge instanceof OriginKnowledge.Unknown) {
            knowledge = recorded;
        }
    }

    /** Returns whether further replies would not change the decision, or are not to be expected. */
    boolean complete() {
        return expected.isEmpty() || !(knowledge instanceof OriginKnowledge.Unknown);
    }

    OriginKnowledge knowledge() {
        return knowledge;
    }

    /** Returns whether an entry has replied that has known all versions. */
    boolean informed() {
        return informed;
    }

    void end(ResumeDecision decision) {
        ended = true;
        listener.accept(decision);
    }
}
