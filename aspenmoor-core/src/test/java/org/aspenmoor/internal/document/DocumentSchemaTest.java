package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.aspenmoor.internal.finding.Finding;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class DocumentSchemaTest {
    private static final Map<String, String> DEFINITIONS = Map.of(
            "models[0]", "model",
            "models[0].adapters[0]", "adapter",
            "kinds[0]", "kind",
            "kinds[0].match", "match",
            "engines[0]", "engine",
            "plainServices[0]", "plainService");

    private JsonNode schema;

    @BeforeClass
    public void read_the_published_schema() throws IOException {
        Path file = Path.of("..", "docs", "schema", "service-document.json");
        schema = new ObjectMapper().readTree(Files.readString(file));
    }

    @Test
    public void should_define_the_same_fields_as_the_reader() {
        String text = """
                {"x": 0, "models": [{"x": 0, "adapters": [{"x": 0}]}], "kinds": [{"x": 0, "match": {"x": 0}}],
                 "engines": [{"x": 0}], "plainServices": [{"x": 0}]}""";
        Map<String, TreeSet<String>> known = new TreeMap<>();
        for (Finding finding :
                new DocumentChecker(new UnknownFleetView()).check("d", text).findings()) {
            String path = finding.location().path();
            if (finding.problem().equals("The field is unknown.")) {
                String names = finding.remedy().replaceAll(".*known fields: |\\.$", "");
                known.put(path.replaceAll("\\.?x$", ""), new TreeSet<>(Arrays.asList(names.split(", "))));
            }
        }

        assertEquals(known.size(), DEFINITIONS.size() + 1);
        known.forEach((path, names) ->
                assertEquals(names, new TreeSet<>(fieldNames(definition(path).get("properties"))), path));
    }

    @Test
    public void should_declare_the_defaults_that_the_writer_writes() throws IOException {
        String text = """
                {"team": "a", "service": "b", "models": [{"name": "m", "version": "1"}],
                 "kinds": [{"name": "k", "weight": 1, "deadlineSeconds": 1}],
                 "engines": [{"name": "e", "dataCentre": "d"}]}""";
        ServiceDocument document = new DocumentChecker(new UnknownFleetView())
                .check("d", text)
                .located()
                .orElseThrow()
                .document();
        JsonNode written = new ObjectMapper().readTree(DocumentWriter.write(document));

        assertEquals(writtenDefaults(written, definition(""), List.of("models", "kinds", "engines")), 4);
        assertEquals(writtenDefaults(written.at("/models/0"), definition("models[0]"), List.of()), 1);
        assertEquals(writtenDefaults(written.at("/kinds/0"), definition("kinds[0]"), List.of()), 3);
        assertEquals(writtenDefaults(written.at("/engines/0"), definition("engines[0]"), List.of()), 1);
    }

    @Test
    public void should_read_back_what_the_writer_writes() {
        ServiceDocument document = DocumentTexts.drafting();

        CheckedDocument read = new DocumentChecker(new UnknownFleetView()).check("d", DocumentWriter.write(document));

        assertEquals(read.findings(), List.of());
        assertEquals(read.located().orElseThrow().document(), document);
    }

    private static int writtenDefaults(JsonNode written, JsonNode definition, List<String> given) {
        int defaults = 0;
        for (String name : fieldNames(definition.get("properties"))) {
            JsonNode value = definition.get("properties").get(name).get("default");
            if (value != null && !given.contains(name)) {
                assertTrue(written.has(name), name);
                assertEquals(comparable(written.get(name)), comparable(value), name);
                defaults++;
            }
        }
        return defaults;
    }

    /** Compares numbers by value, because a default of 0 is written as 0.0 if fractions are allowed. */
    private static Object comparable(JsonNode value) {
        return value.isNumber() ? value.doubleValue() : value;
    }

    private JsonNode definition(String path) {
        return path.isEmpty() ? schema : schema.get("$defs").get(DEFINITIONS.get(path));
    }

    private static List<String> fieldNames(JsonNode node) {
        return node.properties().stream().map(Map.Entry::getKey).toList();
    }
}
