package org.aspenmoor.internal.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.dissemination.RevisionTable;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;

/** Memory of what documents leave in a process. */
final class HeapSlopes {
    private static final List<Integer> DOCUMENT_SIZES = List.of(350, 875, 1750, 3500);

    private final SlopeMeter meter;

    HeapSlopes(SlopeMeter meter) {
        this.meter = meter;
    }

    void measure() {
        meter.memory(SlopeName.HEAP_PER_DOCUMENT, DOCUMENT_SIZES, HeapSlopes::knownDocuments);
        meter.memory(SlopeName.HEAP_PER_PARSED_DOCUMENT, DOCUMENT_SIZES, HeapSlopes::parsedDocuments);
    }

    private static Object knownDocuments(int count) {
        RevisionTable table = new RevisionTable();
        for (int number = 0; number < count; number++) {
            table.offer(Samples.knownDocument(number, 1));
        }
        return table;
    }

    private static Object parsedDocuments(int count) {
        List<ServiceDocument> parsed = new ArrayList<>(count);
        for (int number = 0; number < count; number++) {
            String text = DocumentWriter.write(Samples.document(number, 1, Samples.ENGINES_PER_DOCUMENT));
            parsed.add(new DocumentReader(new Findings()).read("sample", text).orElseThrow());
        }
        return parsed;
    }
}
