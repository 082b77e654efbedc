package org.aspenmoor.internal.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.finding.SourceLocation;
import org.aspenmoor.internal.json.LocatedValue;
import org.testng.annotations.Test;

public class UnreachableKindCheckTest {
    private static final List<String> MODELS = List.of("m", "n");
    private static final List<String> METHODS = List.of("GET", "POST");
    private static final List<String> PATHS = List.of("/a", "/a/b", "/c");
    private static final List<Integer> LENGTHS = List.of(10, 100);
    private static final int DOCUMENTS = 3000;

    private final Random random = new Random(17);

    @Test
    public void should_not_report_a_kind_when_some_request_matches_it() {
        int reported = 0;
        for (int round = 0; round < DOCUMENTS; round++) {
            ServiceDocument document = document();
            for (Finding finding : check(document)) {
                int index = Integer.parseInt(finding.location().path().replaceAll("\\D", ""));
                reported++;
                RequestKind kind = document.kinds().get(index);
                assertTrue(
                        requests().stream()
                                .noneMatch(request -> KindClassifier.classify(document, request)
                                        .equals(Optional.of(kind))),
                        finding + " in " + document.kinds());
            }
        }
        assertTrue(reported > DOCUMENTS / 10, "too few cases: " + reported);
    }

    @Test
    public void should_report_a_kind_when_an_earlier_kind_matches_everything() {
        RequestKind everything = kind("k0", anyRequest());
        RequestKind bookings = kind(
                "k1",
                new KindMatch(
                        Optional.empty(), Optional.empty(), Optional.of("POST"), Optional.empty(), Optional.empty()));
        ServiceDocument document = document(List.of(everything, bookings));

        assertEquals(check(document).size(), 1);
    }

    private static List<Finding> check(ServiceDocument document) {
        Findings findings = new Findings();
        SourceLocation location = new SourceLocation("d", 1, 1, "");
        LocationIndex locations = new LocationIndex(new LocatedValue.ObjectValue(location, Map.of()));
        new UnreachableKindCheck().check(new LocatedDocument(document, locations), findings);
        return findings.all();
    }

    private ServiceDocument document() {
        List<RequestKind> kinds = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            boolean plain = random.nextBoolean();
            KindMatch match = plain
                    ? new KindMatch(
                            Optional.empty(),
                            Optional.empty(),
                            anyOrNone(METHODS),
                            anyOrNone(PATHS),
                            anyOrNone(LENGTHS))
                    : new KindMatch(
                            anyOrNone(MODELS),
                            anyOrNone(List.of("x")),
                            Optional.empty(),
                            Optional.empty(),
                            anyOrNone(LENGTHS));
            kinds.add(kind("k" + index, match));
        }
        return document(kinds);
    }

    private <T> Optional<T> anyOrNone(List<T> values) {
        int index = random.nextInt(values.size() + 1);
        return index == values.size() ? Optional.empty() : Optional.of(values.get(index));
    }

    private static List<RequestTraits> requests() {
        List<RequestTraits> requests = new ArrayList<>();
        for (String model : MODELS) {
            for (int tokens : List.of(1, 10, 50, 100, 500)) {
                requests.add(new RequestTraits(Optional.of(model), Optional.empty(), "POST", "", tokens));
                requests.add(new RequestTraits(Optional.of(model), Optional.of("x"), "POST", "", tokens));
            }
        }
        for (String method : METHODS) {
            for (String path : List.of("/", "/a", "/a/b", "/a/b/c", "/c", "/d")) {
                requests.add(new RequestTraits(Optional.empty(), Optional.empty(), method, path, 0));
            }
        }
        return requests;
    }

    private static KindMatch anyRequest() {
        return new KindMatch(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    private static RequestKind kind(String name, KindMatch match) {
        return new RequestKind(name, match, 1, Duration.ofSeconds(1), true, 0);
    }

    private static ServiceDocument document(List<RequestKind> kinds) {
        return new ServiceDocument("t", "s", 1, List.of(), kinds, 0, List.of(), List.of());
    }
}
