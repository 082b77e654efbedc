package org.aspenmoor.internal.standins.engine;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.aspenmoor.internal.engine.EngineRole;
import org.aspenmoor.internal.standins.http.Call;

/** Simulates the prefill of prompts and the generation of answers. */
final class Generator {
    /** Slowdown of work that does not match the role: prefill on a decode engine, decode on a prefill engine. */
    private static final int WRONG_ROLE_FACTOR = 4;

    private static final double NANOSECONDS_OF_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double NANOSECONDS_OF_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final String WRONG_TOKEN = " wrong";

    private final EngineSettings settings;
    private final EngineFaults faults;
    private final OrderExecutor orders;
    private final PrefixCache cache;
    private final AtomicLong queuedPrefillTokens;

    Generator(
            EngineSettings settings,
            EngineFaults faults,
            OrderExecutor orders,
            PrefixCache cache,
            AtomicLong queuedPrefillTokens) {
        this.settings = settings;
        this.faults = faults;
        this.orders = orders;
        this.cache = cache;
        this.queuedPrefillTokens = queuedPrefillTokens;
    }

    /** Waits for as long as the prefill of the prompt takes; cached tokens take no time. */
    void prefill(GenerationCall generation) {
        List<Long> pieces = PrefixCache.piecesOf(generation.model(), generation.prompt());
        int uncachedTokens = Math.max(0, generation.promptTokens() - cache.cachedPrefixTokens(pieces));
        queuedPrefillTokens.addAndGet(uncachedTokens);
        double slowdown = orders.role() == EngineRole.DECODE ? WRONG_ROLE_FACTOR : 1;
        double seconds = uncachedTokens * slowdown / settings.prefillTokensPerSecond();
        LockSupport.parkNanos(Math.round(seconds * NANOSECONDS_OF_SECOND));
        queuedPrefillTokens.addAndGet(-uncachedTokens);
        cache.add(pieces);
    }

    /** Streams the answer; a slow reader delays the generation. */
    void stream(Call call, GenerationCall generation, RunRecord runRecord) throws IOException, InterruptedException {
        CompletionWriter writer = new CompletionWriter(generation);
        OutputStream output = call.beginStream("text/event-stream");
        for (int index = generation.resumeFrom(); index < generation.answerTokens(); index++) {
            int sent = index - generation.resumeFrom();
            if (shouldCut(sent)) {
                runRecord.end(RunRecord.End.CUT);
                call.dropConnection();
                return;
            }
            if (faults.shouldTruncateStreamAfter(sent)) {
                break;
            }
            String token = faults.shouldSendWrongTokenAt(index) ? WRONG_TOKEN : generation.token(index);
            write(output, writer.streamEvent(token, Optional.empty()));
            runRecord.tokensSent(sent + 1);
            faults.recordTokenSent();
            pauseBetweenTokens();
        }
        write(output, writer.streamEvent("", Optional.of(writer.finishReason())));
        write(output, CompletionWriter.DONE);
        output.close();
        runRecord.end(RunRecord.End.COMPLETED);
    }

    /** Generates the complete answer and sends it in one response. */
    void respondComplete(Call call, GenerationCall generation, RunRecord runRecord)
            throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        for (int index = generation.resumeFrom(); index < generation.answerTokens(); index++) {
            int generated = index - generation.resumeFrom();
            if (shouldCut(generated)) {
                runRecord.end(RunRecord.End.CUT);
                call.dropConnection();
                return;
            }
            text.append(generation.token(index));
            runRecord.tokensSent(generated + 1);
            faults.recordTokenSent();
            pauseBetweenTokens();
        }
        int tokens = Math.max(0, generation.answerTokens() - generation.resumeFrom());
        call.respond(200, new CompletionWriter(generation).completeAnswer(text.toString(), tokens));
        runRecord.end(RunRecord.End.COMPLETED);
    }

    private boolean shouldCut(int tokensSent) throws InterruptedException {
        faults.waitWhileFrozen();
        return faults.shouldCutStreamAfter(tokensSent) || orders.isChangingRole();
    }

    private void pauseBetweenTokens() {
        double slowdown = orders.role() == EngineRole.PREFILL ? WRONG_ROLE_FACTOR : 1;
        LockSupport.parkNanos(Math.round(settings.tokenMilliseconds() * slowdown * NANOSECONDS_OF_MILLISECOND));
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.UTF_8));
        output.flush();
    }
}
