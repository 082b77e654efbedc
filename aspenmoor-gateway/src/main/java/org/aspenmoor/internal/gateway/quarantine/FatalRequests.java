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

/**
 * Tracks requests that terminate servers, from this entry's own requests and from the reports of others. Confined
 * to the event loop.
 */
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
        this.expiredAt = time.monotonicNanoseconds();
    }

    /** Sets the listener for changes that have to be stored. */
    void onChange(ChangeListener listener) {
        storeListener = listener;
    }

    /** Returns whether no request is known to have been on a server when it terminated. */
    public boolean empty() {
        return quarantine.empty();
    }

    /** Decides whether a request may be sent to a server. */
    public Verdict verdict(RequestDigest request) {
        return quarantine.verdict(request, now());
    }

    /** Records that a server terminated while it processed a request of this entry. */
    public void serverEnded(RequestDigest request, ServerStart server) {
        if (quarantine.serverEnded(request, server, now())) {
            changed("own requests", true);
        }
    }

    /** Records that a request was answered, which clears its server terminations. */
    public void answered(RequestDigest request) {
        if (quarantine.answered(request, now())) {
            changed("request was answered", false);
        }
    }

    /** Records terminations reported by another entry or read from the store. */
    public void heard(List<ServerEnd> ends, String from) {
        boolean anyNews = false;
        for (ServerEnd end : ends) {
            anyNews |= quarantine.heard(end, now());
        }
        if (anyNews) {
            changed(from, false);
        }
    }

    /** Returns the terminations to include in the next report to the other entries. */
    public List<ServerEnd> takeNews() {
        return quarantine.takeNews(now());
    }

    /** Returns the terminations that have to be stored: those of requests with terminations on more than one server. */
    public Map<RequestDigest, List<ServerEnd>> repeated() {
        Map<RequestDigest, List<ServerEnd>> repeated = new LinkedHashMap<>();
        quarantine.repeated().forEach(request -> repeated.put(request, quarantine.ends(request, now())));
        return repeated;
    }

    /** Returns the number of requests in quarantine. */
    public int quarantined() {
        return quarantine.size();
    }

    /** Ends expired quarantine periods and removes expired suspects; has to be called several times per second. */
    public void check() {
        if (quarantine.empty()) {
            return;
        }
        if (now() - expiredAt > EXPIRY_PAUSE.toNanos()) {
            expiredAt = now();
            quarantine.expire(now());
        }
        review("quarantine period expired");
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
        return time.monotonicNanoseconds();
    }

    /**
     * Notified of changes that have to be stored; the argument says whether this entry observed a termination
     * itself.
     */
    @FunctionalInterface
    interface ChangeListener {
        void changed(boolean ownRun);
    }
}
