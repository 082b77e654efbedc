package org.aspenmoor.internal.bench.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.function.IntConsumer;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.stream.AnswerAssembler;
import org.aspenmoor.internal.wire.v1.Chunk;
import org.aspenmoor.internal.wire.v1.Frame;

/** Processor time of frames, chunks and documents. */
final class ProcessorSlopes {
    private static final List<Integer> SMALL = List.of(50_000, 100_000, 200_000, 400_000);
    private static final List<Integer> LARGE = List.of(5_000, 10_000, 20_000, 40_000);
    private static final List<Integer> DOCUMENTS = List.of(500, 1000, 2000, 4000);

    private final SlopeMeter meter;
    private long consumed;

    ProcessorSlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        Frame chunk = Samples.chunk(77);
        Frame dispatch = Samples.dispatch();
        repeat(SlopeName.ENCODE_CHUNK, SMALL, index -> encode(Samples.chunk(index)));
        byte[] chunkBytes = chunk.toByteArray();
        repeat(SlopeName.DECODE_CHUNK, SMALL, index -> decode(chunkBytes));
        meter.processor(SlopeName.ASSEMBLE_CHUNK, SMALL, size -> () -> assemble(chunk.getChunk(), size));
        repeat(SlopeName.ENCODE_DISPATCH, LARGE, index -> encode(dispatch));
        byte[] dispatchBytes = dispatch.toByteArray();
        repeat(SlopeName.DECODE_DISPATCH, LARGE, index -> decode(dispatchBytes));
        repeat(SlopeName.ENCODE_LOAD_REPORT, SMALL, index -> encode(Samples.loadReport(index)));
        byte[] reportBytes = Samples.loadReport(5).toByteArray();
        repeat(SlopeName.DECODE_LOAD_REPORT, SMALL, index -> decode(reportBytes));
        String text = DocumentWriter.write(Samples.document(5, 3, Samples.ENGINES_PER_DOCUMENT));
        repeat(SlopeName.PARSE_DOCUMENT, DOCUMENTS, index -> parse(text));
    }

    /** Returns a number that depends on all work done, so that none of it can be left out. */
    long consumed() {
        return consumed;
    }

    private void repeat(SlopeName cost, List<Integer> sizes, IntConsumer operation) {
        meter.processor(cost, sizes, size -> () -> {
            for (int index = 0; index < size; index++) {
                operation.accept(index);
            }
        });
    }

    private void encode(Frame frame) {
        consumed += frame.toByteArray().length;
    }

    private void decode(byte[] bytes) {
        try {
            consumed += Frame.parseFrom(bytes).getBodyCase().getNumber();
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException(malformed);
        }
    }

    private void parse(String text) {
        consumed += new DocumentReader(new Findings())
                .read("sample", text)
                .orElseThrow()
                .revision();
    }

    private void assemble(Chunk chunk, int chunks) {
        AnswerAssembler assembly = new AnswerAssembler();
        int attempt = assembly.beginAttempt();
        for (int sequence = 0; sequence < chunks; sequence++) {
            assembly.onChunk(attempt, sequence, chunk.getData().toByteArray(), 1);
        }
        consumed += assembly.deliveredTokens();
    }
}
