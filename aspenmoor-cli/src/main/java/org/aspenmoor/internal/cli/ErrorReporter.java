package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.finding.Finding;
import org.aspenmoor.internal.finding.FindingsException;

/** Prints the problem, location and remedy of an error, as text or JSON, and determines the exit code. */
final class ErrorReporter {
    private final PrintStream out;
    private final boolean json;

    ErrorReporter(PrintStream out, boolean json) {
        this.out = out;
        this.json = json;
    }

    ExitCode report(AspenmoorException error) {
        if (json) {
            out.println(asJson(error).toPrettyString());
        } else {
            print(error);
        }
        return exitCode(error);
    }

    private static ExitCode exitCode(AspenmoorException error) {
        return switch (error) {
            case UsageException usage -> ExitCode.USAGE;
            case FindingsException mistakes -> ExitCode.MISTAKES;
            case CallRefusedException refused -> refused.exitCode();
            case EntryUnreachableException unreachable when unreachable.mayHaveTakenEffect() -> ExitCode.UNKNOWN;
            case EntryUnreachableException unreachable -> ExitCode.UNAVAILABLE;
            default -> ExitCode.INTERNAL_ERROR;
        };
    }

    private void print(AspenmoorException error) {
        out.println("aspenmoor: " + error.problem());
        switch (error) {
            case FindingsException mistakes -> printFindings(mistakes.findings());
            case CallRefusedException refused -> printRefusal(refused);
            default -> out.println("  where: " + error.place());
        }
        out.println("  next:  " + error.remedy());
    }

    private void printRefusal(CallRefusedException refused) {
        out.println("  where: " + refused.place());
        for (JsonNode finding : refused.body().path("findings")) {
            printFinding(
                    finding.path("line").asInt() + ":" + finding.path("column").asInt() + " ("
                            + finding.path("path").asText() + ")",
                    finding.path("problem").asText(),
                    finding.path("remedy").asText());
        }
    }

    private void printFindings(List<Finding> findings) {
        findings.forEach(finding -> printFinding(finding.location().toString(), finding.problem(), finding.remedy()));
    }

    private void printFinding(String location, String problem, String remedy) {
        out.println("  " + location);
        out.println("      " + problem);
        out.println("      " + remedy);
    }

    private static JsonNode asJson(AspenmoorException error) {
        return switch (error) {
            case CallRefusedException refused when !refused.body().isEmpty() -> refused.body();
            case FindingsException mistakes -> {
                ObjectNode body = baseObject(error);
                body.set("findings", findings(mistakes.findings()));
                yield body;
            }
            default -> baseObject(error);
        };
    }

    static ArrayNode findings(List<Finding> findings) {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        for (Finding finding : findings) {
            array.addObject()
                    .put("source", finding.location().source())
                    .put("line", finding.location().line())
                    .put("column", finding.location().column())
                    .put("path", finding.location().path())
                    .put("problem", finding.problem())
                    .put("remedy", finding.remedy());
        }
        return array;
    }

    private static ObjectNode baseObject(AspenmoorException error) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("problem", error.problem())
                .put("place", error.place())
                .put("remedy", error.remedy());
    }
}
