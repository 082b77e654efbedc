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

/** Computes prompts and generates answers. */
final class Generator {
    /** How much slower an engine does the work that its role is not made for. */
    private static final int WRONG_ROLE_FACTOR = 4;

    private static final double NANOSECONDS_OF_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double NANOSECONDS_OF_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final String WRONG_TOKEN = " wrong";

    private final EngineSettings settings;
    private final EngineFaults faults;
    private final OrderQueue orders;
    private final PrefixCache cache;
    private final AtomicLong queuedPrefillTokens;

    Generator(
            EngineSettings settings,
            EngineFaults faults,
            OrderQueue orders,
            PrefixCache cache,
            AtomicLong queuedPrefillTokens) {
        this.settings = settings;
        this.faults = faults;
        this.orders = orders;
        this.cache = cache;
        this.queuedPrefillTokens = queuedPrefillTokens;
    }

    /** Computes the prompt; cached pieces cost nothing. */
    void prefill(GenerationCall generation) {
        List<Long> pieces = PrefixCache.piecesOf(generation.model(), generation.prompt());
        int computed = Math.max(0, generation.promptTokens() - cache.coveredTokens(pieces));
        queuedPrefillTokens.addAndGet(computed);
        double slowdown = orders.role() == EngineRole.DECODE ? WRONG_ROLE_FACTOR : 1;
        double seconds = computed * slowdown / settings.prefillTokensPerSecond();
        LockSupport.parkNanos(Math.round(seconds * NANOSECONDS_OF_SECOND));
        queuedPrefillTokens.addAndGet(-computed);
        cache.add(pieces);
    }

    /** Streams the answer; a reader that is slow holds the generation back. */
    void stream(Call call, GenerationCall generation, RunEntry entry) throws IOException, InterruptedException {
        CompletionWriter writer = new CompletionWriter(generation);
        OutputStream output = call.stream("text/event-stream");
        for (int index = generation.resumeFrom(); index < generation.tokens(); index++) {
            int sent = index - generation.resumeFrom();
            if (mustCut(sent)) {
                entry.end(RunEntry.End.CUT);
                call.drop();
                return;
            }
            if (faults.truncatesStreamAfter(sent)) {
                break;
            }
            String token = faults.wrongTokenAt(index) ? WRONG_TOKEN : generation.token(index);
            write(output, writer.event(token, Optional.empty()));
            entry.tokensSent(sent + 1);
            faults.tokenSent();
            pauseBetweenTokens();
        }
        write(output, writer.event("", Optional.of(writer.finishReason())));
        write(output, CompletionWriter.DONE);
        output.close();
        entry.end(RunEntry.End.COMPLETED);
    }

    /** Generates the whole answer and sends it at once. */
    void answerWhole(Call call, GenerationCall generation, RunEntry entry) throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        for (int index = generation.resumeFrom(); index < generation.tokens(); index++) {
            int generated = index - generation.resumeFrom();
            if (mustCut(generated)) {
                entry.end(RunEntry.End.CUT);
                call.drop();
                return;
            }
            text.append(generation.token(index));
            entry.tokensSent(generated + 1);
            faults.tokenSent();
            pauseBetweenTokens();
        }
        int tokens = Math.max(0, generation.tokens() - generation.resumeFrom());
        call.respond(200, new CompletionWriter(generation).whole(text.toString(), tokens));
        entry.end(RunEntry.End.COMPLETED);
    }

    private boolean mustCut(int tokensSent) throws InterruptedException {
        faults.waitWhileFrozen();
        return faults.cutsStreamAfter(tokensSent) || orders.isAway();
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
