package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.FindingsException;

/** Reads and checks teams' documents from files. */
final class DocumentFiles {
    private DocumentFiles() {}

    static List<ServiceDocument> read(List<String> files) throws IOException, FindingsException {
        Findings findings = new Findings();
        List<ServiceDocument> documents = new ArrayList<>();
        for (String file : files) {
            Optional<ServiceDocument> document =
                    new DocumentReader(findings).read(file, Files.readString(Path.of(file)));
            document.ifPresent(documents::add);
        }
        findings.throwIfAny("The document");
        return documents;
    }
}
