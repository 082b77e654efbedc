package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Polls the given entries until a revision is in force in every process that they know of. */
final class InForceWait {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Invocation invocation;
    private final ServiceName name;
    private final long revision;

    InForceWait(Invocation invocation, ServiceName name, long revision) {
        this.invocation = invocation;
        this.name = name;
        this.revision = revision;
    }

    ExitCode run() throws AspenmoorException {
        List<AdministrationClient> clients = invocation.clients();
        long startNanos = invocation.terminal().monotonicNanos();
        String path =
                "in-force?team=" + ServicePaths.encode(name.team()) + "&service=" + ServicePaths.encode(name.service());
        while (true) {
            Map<String, Long> revisionByProcess = new TreeMap<>();
            for (AdministrationClient client : clients) {
                mergeRevisions(client.get(path).path("inForce"), revisionByProcess);
            }
            List<String> lagging = laggingProcesses(revisionByProcess);
            long elapsedNanos = invocation.terminal().monotonicNanos() - startNanos;
            if (!revisionByProcess.isEmpty() && lagging.isEmpty()) {
                report("Revision " + revision + " is in force in all " + revisionByProcess.size() + " processes after "
                        + String.format("%.1f s.", elapsedNanos / NANOS_PER_SECOND));
                return ExitCode.DONE;
            }
            if (elapsedNanos >= invocation.timeout().toNanos()
                    || !invocation.terminal().pause(POLL_INTERVAL)) {
                String where = revisionByProcess.isEmpty() ? "any process" : String.join(", ", lagging);
                report("Revision " + revision + " is not yet in force in " + where
                        + "; it comes into force there as soon as the process receives it.");
                return ExitCode.NOT_YET_IN_FORCE;
            }
        }
    }

    /** Keeps the highest, hence latest, revision per process; entries receive its reports at different times. */
    private static void mergeRevisions(JsonNode inForce, Map<String, Long> revisionByProcess) {
        for (JsonNode process : inForce) {
            revisionByProcess.merge(
                    process.path("process").asText(), process.path("revision").asLong(), Math::max);
        }
    }

    private List<String> laggingProcesses(Map<String, Long> revisionByProcess) {
        List<String> lagging = new ArrayList<>();
        revisionByProcess.forEach((process, inForce) -> {
            if (inForce < revision) {
                lagging.add(process);
            }
        });
        return lagging;
    }

    private void report(String sentence) {
        if (invocation.hasOption(Options.JSON)) {
            invocation.terminal().error().println(sentence);
        } else {
            invocation.out().println(sentence);
        }
    }
}
