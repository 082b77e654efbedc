package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;
import org.aspenmoor.internal.finding.SourceLocation;

/**
 * Findings that an entry answered with.
 *
 * @param file the file that was sent, which the entry knows by its service's name only
 * @param answer the entry's answer
 */
record FleetFindings(String file, JsonNode answer) {
    FindingsException asException() {
        List<Finding> findings = new ArrayList<>();
        for (JsonNode finding : answer.path("findings")) {
            SourceLocation place = new SourceLocation(
                    file,
                    finding.path("line").asInt(),
                    finding.path("column").asInt(),
                    finding.path("path").asText());
            findings.add(new Finding(
                    place,
                    finding.path("problem").asText(),
                    finding.path("remedy").asText()));
        }
        return new FindingsException(file, findings);
    }
}
