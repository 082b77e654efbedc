package org.aspenmoor.internal.gateway.request;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.aspenmoor.internal.gateway.backend.AnswerIrregularity;
import org.aspenmoor.internal.gateway.backend.IrregularAnswer;
import org.aspenmoor.internal.gateway.log.DecisionLog;
import org.aspenmoor.internal.serving.BackendServer;

/** Logs and counts what servers send that an intact server does not send. */
final class IrregularAnswerLog {
    private final DecisionLog log;
    private final Map<AnswerIrregularity, LongAdder> counts = new EnumMap<>(AnswerIrregularity.class);

    IrregularAnswerLog(DecisionLog log) {
        this.log = log;
        Arrays.stream(AnswerIrregularity.values()).forEach(kind -> counts.put(kind, new LongAdder()));
    }

    /** Logs and counts an irregular answer. */
    void received(BackendServer server, IrregularAnswer answer) {
        counts.get(answer.kind()).increment();
        log.notable("irregular-answer")
                .with("server", server.id())
                .with("request", answer.requestId())
                .with("kind", answer.kind().name())
                .with("exchanges", answer.exchanges())
                .with("excerpt", answer.excerpt())
                .write();
    }

    /** Returns how many irregular answers have been received since the start. */
    long count(AnswerIrregularity kind) {
        return counts.get(kind).sum();
    }
}
