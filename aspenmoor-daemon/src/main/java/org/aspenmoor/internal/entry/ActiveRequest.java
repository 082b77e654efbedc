package org.aspenmoor.internal.entry;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.aspenmoor.RequestId;
import org.aspenmoor.internal.claim.ClaimTicket;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.stream.AnswerAssembler;
import org.aspenmoor.internal.wire.v1.Header;

/** A request that the entry is processing. Points in time are monotonic and in nanoseconds. */
final class ActiveRequest {
    private final IncomingRequest incoming;
    private final ServiceDocument document;
    private final RequestKind kind;
    private final long receivedAt;
    private final AnswerAssembler assembly = new AnswerAssembler();
    private final StringBuilder deliveredText = new StringBuilder();
    private final ByteArrayOutputStream plainBody = new ByteArrayOutputStream();
    private final Set<String> triedBackends = new HashSet<>();
    private Optional<AgentPeer> peer = Optional.empty();
    private int plainStatus;
    private List<Header> plainHeaders = new ArrayList<>();
    private long lastProgressAt;
    private boolean mayHaveRun;
    private String versionLabel = "";
    private Optional<ClaimTicket> ticket = Optional.empty();

    ActiveRequest(IncomingRequest incoming, ServiceDocument document, RequestKind kind, long receivedAt) {
        this.incoming = incoming;
        this.document = document;
        this.kind = kind;
        this.receivedAt = receivedAt;
        this.lastProgressAt = receivedAt;
    }

    RequestId id() {
        return incoming.id();
    }

    IncomingRequest incoming() {
        return incoming;
    }

    CallerSink sink() {
        return incoming.sink();
    }

    ServiceDocument document() {
        return document;
    }

    RequestKind kind() {
        return kind;
    }

    boolean isGeneration() {
        return incoming.work() instanceof CallerWork.Generation;
    }

    int promptTokens() {
        return switch (incoming.work()) {
            case CallerWork.Generation generation -> generation.request().promptTokens();
            case CallerWork.PlainCall ignored -> 0;
        };
    }

    /** Returns the idempotency claim under which the request may run once; empty if it needs none. */
    Optional<ClaimTicket> ticket() {
        return ticket;
    }

    void recordClaim(ClaimTicket newTicket) {
        ticket = Optional.of(newTicket);
    }

    /** Returns the label ({@code MODEL@VERSION}) of the model version that its latest attempt was routed to. */
    String versionLabel() {
        return versionLabel;
    }

    void setVersionLabel(String label) {
        versionLabel = label;
    }

    long receivedAt() {
        return receivedAt;
    }

    long deadlineAt() {
        return receivedAt + kind.deadline().toNanos();
    }

    AnswerAssembler assembly() {
        return assembly;
    }

    Optional<AgentPeer> peer() {
        return peer;
    }

    Set<String> triedBackends() {
        return triedBackends;
    }

    /**
     * Returns whether the caller has received part of the answer, so that the request can no longer be reported as not
     * run.
     */
    boolean hasDeliveredTokens() {
        return assembly.deliveredTokens() > 0;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    long lastProgressAt() {
        return lastProgressAt;
    }

    void recordProgress(long now) {
        lastProgressAt = now;
    }

    /** Starts an attempt at an agent and returns the attempt number. */
    int beginAttempt(AgentPeer newPeer, long now) {
        peer = Optional.of(newPeer);
        triedBackends.add(newPeer.backend());
        lastProgressAt = now;
        plainBody.reset();
        plainHeaders = List.of();
        newPeer.incrementOutstanding();
        return assembly.beginAttempt();
    }

    /** Ends the current attempt. Its late frames are discarded once the next attempt starts. */
    void endAttempt(boolean attemptMayHaveRun) {
        peer.ifPresent(AgentPeer::decrementOutstanding);
        peer = Optional.empty();
        mayHaveRun |= attemptMayHaveRun;
    }

    void appendDelivered(String text) {
        deliveredText.append(text);
    }

    String deliveredText() {
        return deliveredText.toString();
    }

    void startPlainAnswer(int status, List<Header> headers) {
        plainStatus = status;
        plainHeaders = headers;
    }

    /** Appends to the answer body of a plain service and returns its length so far in bytes. */
    int appendPlainBody(byte[] data) {
        plainBody.writeBytes(data);
        return plainBody.size();
    }

    PlainAnswer plainAnswer() {
        return new PlainAnswer(plainStatus, plainHeaders, plainBody.toByteArray());
    }
}
