package org.aspenmoor.internal.gateway.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.quarantine.Quarantine;
import org.aspenmoor.internal.serving.quarantine.QuarantineChange;
import org.aspenmoor.internal.serving.quarantine.RequestDigest;
import org.aspenmoor.internal.serving.quarantine.ServerEnd;
import org.aspenmoor.internal.serving.quarantine.ServerStart;
import org.aspenmoor.internal.serving.quarantine.Verdict;
import org.aspenmoor.internal.time.TimeSource;

/** What this entry knows of requests that end servers, from its own runs and from others. Confined to the event loop. */
public final class FatalRequests {
    private static final Duration EXPIRY_PAUSE = Duration.ofSeconds(10);

    private final TimeSource time;
    private final DecisionLog log;
    private final Quarantine quarantine = new Quarantine();
    private ChangeListener storeListener = ownRun -> {};
    private long expiredAt;

    public FatalRequests(TimeSource time, DecisionLog log) {
        this.time = time;
        this.log = log;
        this.expiredAt = time.monotonicNanos();
    }

    /** Sets what runs when something has changed that belongs into the store. */
    void onChange(ChangeListener listener) {
        storeListener = listener;
    }

    /** Returns whether no request is known to have been at a server that ended. */
    public boolean empty() {
        return quarantine.empty();
    }

    /** Returns what is to be done with a request. */
    public Verdict verdict(RequestDigest request) {
        return quarantine.verdict(request, now());
    }

    /** Notes that a server ended while this entry had a request there. */
    public void serverEnded(RequestDigest request, ServerStart server) {
        if (quarantine.serverEnded(request, server, now())) {
            changed("own runs", true);
        }
    }

    /** Notes that a request was answered, which excuses the ends of servers under it. */
    public void answered(RequestDigest request) {
        if (quarantine.answered(request, now())) {
            changed("an answer", false);
        }
    }

    /** Takes in what another entry, or the store, tells. */
    public void heard(List<ServerEnd> ends, String from) {
        boolean anyNews = false;
        for (ServerEnd end : ends) {
            anyNews |= quarantine.heard(end, now());
        }
        if (anyNews) {
            changed(from, false);
        }
    }

    /** Returns what the next report to the other entries tells. */
    public List<ServerEnd> takeNews() {
        return quarantine.takeNews(now());
    }

    /** Returns what belongs into the store: the requests under which more than one server has ended. */
    public Map<RequestDigest, List<ServerEnd>> repeated() {
        Map<RequestDigest, List<ServerEnd>> repeated = new LinkedHashMap<>();
        quarantine.repeated().forEach(request -> repeated.put(request, quarantine.ends(request, now())));
        return repeated;
    }

    /** Returns how many requests are kept from servers. */
    public int quarantined() {
        return quarantine.size();
    }

    /** Lets terms and memories end; to be called several times a second. */
    public void check() {
        if (quarantine.empty()) {
            return;
        }
        if (now() - expiredAt > EXPIRY_PAUSE.toNanos()) {
            expiredAt = now();
            quarantine.expire(now());
        }
        review("its term is over");
    }

    private void changed(String from, boolean ownRun) {
        review(from);
        storeListener.changed(ownRun);
    }

    private void review(String from) {
        quarantine.review(now()).forEach(change -> write(change, from));
    }

    private void write(QuarantineChange change, String from) {
        if (change.verdict().isEmpty()) {
            log.notable("request-released")
                    .with("digest", change.request().text())
                    .with("reason", from)
                    .write();
            return;
        }
        Verdict.Quarantined verdict = change.verdict().get();
        List<String> servers = new ArrayList<>();
        quarantine
                .ends(change.request(), now())
                .forEach(end -> servers.add(end.server().server()));
        log.notable("request-quarantined")
                .with("digest", change.request().text())
                .with("ends", verdict.ends())
                .with("servers", String.join(",", servers))
                .with("forSeconds", verdict.left().toSeconds())
                .with("knownFrom", from)
                .write();
    }

    private long now() {
        return time.monotonicNanos();
    }

    /** Hears that something has changed that belongs into the store; whether this entry saw a server end itself. */
    @FunctionalInterface
    interface ChangeListener {
        void changed(boolean ownRun);
    }
}
