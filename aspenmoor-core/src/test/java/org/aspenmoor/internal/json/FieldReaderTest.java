package org.aspenmoor.internal.json;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.Findings;
import org.testng.annotations.Test;

public class FieldReaderTest {
    @Test
    public void should_report_all_mistakes_with_their_locations() {
        Findings findings = new Findings();
        String text = "{\n  // a port out of range\n  \"port\": 70000,\n  \"name\": 3,\n  \"colour\": \"red\"\n}";
        FieldReader reader = new FieldReader(
                new LocatedJsonParser("settings.json", findings)
                        .parseObject(text)
                        .orElseThrow(),
                findings);

        reader.integer("port", 1, 65535, 8080);
        reader.optionalText("name");
        reader.requiredText("host");
        reader.rejectUnknownFields();

        List<String> locations = findings.all().stream()
                .map(Finding::location)
                .map(Object::toString)
                .toList();
        assertEquals(
                locations,
                List.of(
                        "settings.json:3:11 (port)",
                        "settings.json:4:11 (name)",
                        "settings.json:1:1 (host)",
                        "settings.json:5:13 (colour)"));
    }

    @Test
    public void should_report_the_line_when_the_syntax_is_invalid() {
        Findings findings = new Findings();

        assertTrue(new LocatedJsonParser("settings.json", findings)
                .parseObject("{\n  \"port\" 1\n}")
                .isEmpty());

        assertEquals(findings.all().getFirst().location().line(), 2);
    }
}
