package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;
import org.aspenmoor.internal.finding.SourceLocation;

/**
 * Findings in the answer of an entry that checked a document against the fleet.
 *
 * @param file the checked file; the entry received only its content, so its findings refer to the name of the service
 * @param answer answer of the entry
 */
record FleetFindings(String file, JsonNode answer) {
    FindingsException toException() {
        List<Finding> findings = new ArrayList<>();
        for (JsonNode finding : answer.path("findings")) {
            SourceLocation location = new SourceLocation(
                    file,
                    finding.path("line").asInt(),
                    finding.path("column").asInt(),
                    finding.path("path").asText());
            findings.add(new Finding(
                    location,
                    finding.path("problem").asText(),
                    finding.path("remedy").asText()));
        }
        return new FindingsException(file, findings);
    }
}
