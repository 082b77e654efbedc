package org.aspenmoor.internal.standins.command;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.document.DocumentReader;
import org.aspenmoor.internal.document.DocumentWriter;
import org.aspenmoor.internal.document.ServiceDocument;
import org.aspenmoor.internal.finding.Findings;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;
import org.aspenmoor.internal.store.StoredObject;

/** Writes teams' documents to a store without the checks of the operator's tool; for tests only. */
public final class PutDocumentCommand implements Subcommand {
    @Override
    public String name() {
        return "put-document";
    }

    @Override
    public String summary() {
        return "writes documents to the store, each with its next revision";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws AspenmoorException, IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<String> store =
                parser.accepts("store", "the store's address").withRequiredArg().required();
        OptionSpec<String> files = parser.nonOptions("document files");
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        StoreAccess access = new StoreAccess(URI.create(options.valueOf(store)));
        List<String> names = new ArrayList<>(options.valuesOf(files));
        for (ServiceDocument document : DocumentFiles.read(names)) {
            long revision = put(access, document);
            output.println(document.team() + "/" + document.service() + " has revision " + revision);
        }
        return 0;
    }

    private static long put(StoreAccess access, ServiceDocument document) throws AspenmoorException {
        ObjectKey key = new ObjectKey(ObjectKind.DOCUMENT, document.team(), document.service());
        Optional<StoredObject> current = access.read(key);
        long revision = revisionOf(current) + 1;
        access.write(key, current, DocumentWriter.write(document.withRevision(revision)));
        return revision;
    }

    private static long revisionOf(Optional<StoredObject> current) throws AspenmoorException {
        if (current.isEmpty()) {
            return 0;
        }
        Findings findings = new Findings();
        Optional<ServiceDocument> document = new DocumentReader(findings)
                .read(current.get().key().toString(), current.get().value());
        findings.throwIfAny("The document in the store");
        return document.map(ServiceDocument::revision).orElse(0L);
    }
}
