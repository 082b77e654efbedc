package org.aspenmoor.internal.administration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.aspenmoor.internal.document.ServiceName;

/** Converts status records to JSON. */
final class StatusJson {
    private StatusJson() {}

    static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    static ObjectNode service(ServiceStatus status, long revision) {
        ObjectNode node = serviceFields(status.name());
        node.put("revision", revision);
        for (KindStatus kind : status.kinds()) {
            node.withArray("kinds")
                    .addObject()
                    .put("kind", kind.kind())
                    .put("answered", kind.answered())
                    .put("notRun", kind.notRun())
                    .put("unknown", kind.unknown())
                    .put("cancelled", kind.cancelled());
        }
        return node;
    }

    static ObjectNode backend(BackendStatus backend) {
        ObjectNode node = serviceFields(backend.service());
        node.put("name", backend.name());
        node.put("dataCentre", backend.dataCentre());
        node.put("state", lowerCase(backend.state()));
        backend.detail().ifPresent(detail -> node.put("detail", detail));
        backend.role().ifPresent(role -> node.put("role", lowerCase(role)));
        node.put("outstanding", backend.outstanding());
        backend.load()
                .ifPresent(load -> node.put("running", load.runningSequences())
                        .put("mostRunning", load.maxSequences())
                        .put("queuedPrefillTokens", load.queuedPrefillTokens())
                        .put("freeCachePieces", load.freeCachePieces())
                        .put("allCachePieces", load.totalCachePieces()));
        backend.loaded().forEach(node.putArray("loaded")::add);
        return node;
    }

    static ObjectNode duty(DutyStatus duty) {
        ObjectNode node = object().put("duty", duty.duty());
        duty.team().ifPresent(team -> node.put("team", team));
        duty.service().ifPresent(service -> node.put("service", service));
        node.put("dataCentre", duty.dataCentre());
        duty.holder().ifPresent(holder -> node.put("holder", holder));
        return node.put("term", duty.term()).put("detail", duty.detail());
    }

    static ObjectNode revision(ProcessRevision revision) {
        ObjectNode node = serviceFields(revision.service());
        node.put("process", revision.process());
        node.put("dataCentre", revision.dataCentre());
        node.put("revision", revision.revision());
        revision.since().ifPresent(since -> node.put("since", since.toString()));
        return node;
    }

    private static ObjectNode serviceFields(ServiceName name) {
        return object().put("team", name.team()).put("service", name.service());
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
