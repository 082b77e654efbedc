package org.aspenmoor.internal.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.ServiceName;

/** Asks the entries that are named again and again until a revision is in force in every process they hear of. */
final class InForceWait {
    private static final Duration PAUSE = Duration.ofMillis(200);
    private static final double NANOSECONDS_OF_SECOND = 1e9;

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
        long start = invocation.terminal().monotonicNanoseconds();
        String path =
                "in-force?team=" + ServicePaths.encode(name.team()) + "&service=" + ServicePaths.encode(name.service());
        while (true) {
            Map<String, Long> processes = new TreeMap<>();
            for (AdministrationClient client : clients) {
                collect(client.get(path).path("inForce"), processes);
            }
            List<String> behind = behind(processes);
            long elapsed = invocation.terminal().monotonicNanoseconds() - start;
            if (!processes.isEmpty() && behind.isEmpty()) {
                report("Revision " + revision + " is in force in all " + processes.size() + " processes after "
                        + String.format("%.1f s.", elapsed / NANOSECONDS_OF_SECOND));
                return ExitCode.DONE;
            }
            if (elapsed >= invocation.timeout().toNanos()
                    || !invocation.terminal().pause(PAUSE)) {
                String where = processes.isEmpty() ? "any process" : String.join(", ", behind);
                report("Revision " + revision + " is not yet in force in " + where
                        + "; it comes into force there as soon as the process hears of it.");
                return ExitCode.NOT_YET_IN_FORCE;
            }
        }
    }

    /** Two entries may hear of one process at different moments; the higher revision is the later news. */
    private static void collect(JsonNode inForce, Map<String, Long> processes) {
        for (JsonNode process : inForce) {
            processes.merge(
                    process.path("process").asText(), process.path("revision").asLong(), Math::max);
        }
    }

    private List<String> behind(Map<String, Long> processes) {
        List<String> behind = new ArrayList<>();
        processes.forEach((process, inForce) -> {
            if (inForce < revision) {
                behind.add(process);
            }
        });
        return behind;
    }

    private void report(String sentence) {
        if (invocation.has(Options.JSON)) {
            invocation.terminal().error().println(sentence);
        } else {
            invocation.out().println(sentence);
        }
    }
}
