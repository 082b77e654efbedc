package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.finding.Finding;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DocumentCheckerTest {
    @Test
    public void should_report_nothing_when_the_document_is_valid() {
        assertEquals(check(DocumentTexts.DRAFTING), List.of());
    }

    @DataProvider
    public Object[][] mistakes() {
        return new Object[][] {
            {"\"team\": \"studio\"", "\"team\": \"Studio!\"", "2:11 (team)", "is not valid. Use"},
            {"\"service\": \"drafting\"", "\"service\": \"a.b\"", "3:14 (service)", "is not valid. Use"},
            {DocumentTexts.HASH, "secret-token", "4:25 (callerTokenHashes[0])", "not a SHA-256 hash"},
            {"\"theatre\", \"version\": \"1\"", "\"thea:tre\", \"version\": \"1\"", "7:69", "is not valid. Use"},
            {"{\"model\": \"scene-drafter\"}", "{\"model\": \"scene\"}", "12:42 (kinds[1].match.model)", "not declared"
            },
            {
                "{\"model\": \"scene-drafter\"}",
                "{\"model\": \"scene-drafter\", \"adapter\": \"film\"}",
                "12:70 (kinds[1].match.adapter)",
                "no adapter \"film\""
            },
            {"{\"model\": \"scene-drafter\"}", "{\"adapter\": \"theatre\"}", "12:44", "An adapter belongs to a model"},
            {", \"mostPromptTokens\": 400", "", "12:5 (kinds[1])", "never matches:"},
            {"{\"method\": \"GET\"}", "{\"method\": \"GET\", \"model\": \"m\"}", "16:34", "so it never matches"},
            {"{\"method\": \"GET\"}", "{\"method\": \"FETCH\"}", "16:45", "not a supported HTTP method"},
            {"\"/bookings\"", "\"bookings\"", "14:67", "does not start with '/'"},
            {", \"idempotent\": false", "", "14:5 (kinds[2].idempotent)", "does not declare whether"},
            {"800}", "800, \"idempotent\": false}", "13:84", "must be idempotent"},
            {", \"longestOutputTokens\": 800", "", "12:5 (kinds[1].longestOutputTokens)", "at least one output token"},
            {"\"deadlineSeconds\": 20", "\"deadlineSeconds\": 0.5", "13:38", "800 tokens"},
            {"\"weight\": 5", "\"weight\": 0", "11:16 (kinds[0].weight)", "weight 0"},
            {"\"name\": \"scene\"", "\"name\": \"cue\"", "12:14 (kinds[1].name)", "is already declared in line 10"},
            {"\"drafter-2\"", "\"drafter-1\"", "20:14 (engines[1].name)", "is already declared in line 19"},
            {"\"desk-1\"", "\"drafter-1\"", "22:30 (plainServices[0].name)", "is already declared in line 19"},
            {"{\"name\": \"desk-1\", \"dataCentre\": \"almaty-1\"}", "", "14:34", "no plain service is declared"},
            {"\"service\"", "\"acceptance\": {}, \"service\"", "3:17 (acceptance)", "written by the system"},
            {"\"weight\": 5", "\"weight\": \"5\"", "11:16", "wrong type"},
        };
    }

    @Test(dataProvider = "mistakes")
    public void should_report_the_location_of_a_mistake(String valid, String invalid, String location, String problem) {
        List<Finding> findings = check(DocumentTexts.DRAFTING.replace(valid, invalid));

        assertTrue(
                findings.stream()
                        .map(Finding::toString)
                        .anyMatch(finding -> finding.startsWith("d.json:" + location) && finding.contains(problem)),
                findings.toString());
    }

    @Test
    public void should_report_models_without_engines() {
        String text = "{\"team\": \"a\", \"service\": \"b\", \"models\": [{\"name\": \"m\", \"version\": \"1\"}]}";

        List<String> problems = check(text).stream().map(Finding::problem).toList();

        assertEquals(
                problems,
                List.of(
                        "The service has no caller token, so no caller is authorised.",
                        "The service has no kind of request, so it accepts no request.",
                        "The service has models but no engine."));
    }

    @Test
    public void should_report_correct_locations_after_an_item_of_the_wrong_type() {
        String text = DocumentTexts.DRAFTING
                .replace("\"engines\": [", "\"engines\": [7,")
                .replace("\"almaty-2\"", "\"Almaty 2\"");

        List<String> locations = check(text).stream()
                .map(finding -> finding.location().toString())
                .toList();

        assertEquals(locations, List.of("d.json:18:15 (engines[0])", "d.json:20:41 (engines[2].dataCentre)"));
    }

    @Test
    public void should_report_conflicts_with_the_fleet() {
        FleetView fleet = new ConflictingFleet();

        List<Finding> findings = new DocumentChecker(fleet)
                .check("d.json", DocumentTexts.DRAFTING)
                .findings();

        assertEquals(
                findings.stream().map(Finding::problem).toList(),
                List.of(
                        "Another team uses this token too, so a request with it could reach either team.",
                        "The model \"scene-drafter\" is also declared by studio/other, so a request could reach either service.",
                        "No engine of the service has enough memory for the model \"scene-drafter\".",
                        "The weight store has no version \"3\" of \"scene-drafter\".",
                        "The longest answer takes 3 s on the fleet's fastest engine.",
                        "The longest answer takes 40 s on the fleet's fastest engine.",
                        "The backend server \"drafter-1\" is declared by another team.",
                        "The platform has no data centre \"almaty-2\".",
                        "The backend server \"desk-1\" stands in \"almaty-3\"."));
    }

    private static List<Finding> check(String text) {
        return new DocumentChecker(new UnknownFleetView()).check("d.json", text).findings();
    }

    /** A fleet that conflicts with the test document in every respect. */
    private static final class ConflictingFleet implements FleetView {
        @Override
        public Optional<Boolean> hasDataCentre(String name) {
            return Optional.of(name.equals("almaty-1"));
        }

        @Override
        public Optional<String> dataCentreOf(String backend) {
            return backend.equals("desk-1") ? Optional.of("almaty-3") : Optional.empty();
        }

        @Override
        public Optional<ServiceName> ownerOf(String backend) {
            return backend.equals("drafter-1") ? Optional.of(new ServiceName("other", "s")) : Optional.empty();
        }

        @Override
        public Optional<ServiceName> otherServiceOfModel(ServiceName self, String model) {
            return Optional.of(new ServiceName("studio", "other"));
        }

        @Override
        public Optional<Boolean> isTokenOfOtherTeam(String team, String tokenHash) {
            return Optional.of(true);
        }

        @Override
        public Optional<Boolean> hasModelVersion(String model, String version) {
            return Optional.of(false);
        }

        @Override
        public Optional<Boolean> hasMemoryFor(String engine, String model) {
            return Optional.of(false);
        }

        @Override
        public Optional<Duration> minTokenInterval(String model) {
            return Optional.of(Duration.ofMillis(50));
        }
    }
}
