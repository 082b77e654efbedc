package org.aspenmoorusage.standins;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.document.RequestKind;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExampleDocumentsTest {
    @DataProvider
    public Object[][] documents() {
        return new Object[][] {
            {"seitkali-drafting.json", 8, 4},
            {"seitkali-studio-desk.json", 4, 4},
            {"hojas-drafting.json", 8, 3},
            {"hojas-registry.json", 3, 3},
        };
    }

    @Test(dataProvider = "documents")
    public void should_read_without_findings(String file, int backends, int dataCentres) throws IOException {
        ServiceDocument document = read(file, Files.readString(examples().resolve(file)));

        assertEquals(document.backends().size(), backends);
        long distinct = document.backends().stream()
                .map(backend -> backend.dataCentre())
                .distinct()
                .count();
        assertEquals(distinct, dataCentres);
        assertFalse(document.kinds().isEmpty());
    }

    @Test(dataProvider = "documents")
    public void should_read_back_an_equal_document_when_it_was_written(String file, int backends, int dataCentres)
            throws IOException {
        ServiceDocument document = read(file, Files.readString(examples().resolve(file)));

        assertEquals(read("written", DocumentWriter.write(document)), document);
    }

    @Test
    public void should_not_be_idempotent_when_the_kind_is_a_booking_invoice_or_filing() throws IOException {
        List<String> nonIdempotent = List.of("booking", "invoice", "filing");
        for (Object[] row : documents()) {
            String file = (String) row[0];
            for (RequestKind kind :
                    read(file, Files.readString(examples().resolve(file))).kinds()) {
                assertEquals(kind.idempotent(), !nonIdempotent.contains(kind.name()), file + " " + kind.name());
            }
        }
    }

    private static ServiceDocument read(String source, String text) {
        Findings findings = new Findings();
        ServiceDocument document =
                new DocumentReader(findings).read(source, text).orElseThrow();
        assertEquals(findings.all(), List.of());
        return document;
    }

    // Maven runs the tests of a module in the folder of the module.
    private static Path examples() {
        return Path.of("..", "examples");
    }
}
