package org.aspenmoor.internal.standins.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.aspenmoor.AspenmoorException;
import org.aspenmoor.internal.standins.http.Json;
import org.aspenmoor.internal.store.ObjectKey;
import org.aspenmoor.internal.store.ObjectKind;

/** Adds a host to the platform's host list, or changes its state. */
public final class HostCommand implements Subcommand {
    @Override
    public String name() {
        return "host";
    }

    @Override
    public String summary() {
        return "sets the state of hosts in the platform's host list to live or leaving";
    }

    @Override
    public int run(PrintStream output, String... arguments) throws AspenmoorException, IOException {
        OptionParser parser = new OptionParser();
        OptionSpec<Void> help = parser.accepts("help", "print this help").forHelp();
        OptionSpec<String> store =
                parser.accepts("store", "the store's address").withRequiredArg().required();
        OptionSpec<String> hosts = parser.accepts("name", "the hosts' names, separated by commas")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .required();
        OptionSpec<String> dataCentre = parser.accepts("data-centre", "data centre of the hosts")
                .withRequiredArg()
                .required();
        OptionSpec<String> address = parser.accepts("address", "IP address of the hosts")
                .withRequiredArg()
                .defaultsTo("127.0.0.1");
        OptionSpec<String> state =
                parser.accepts("state", "live or leaving").withRequiredArg().defaultsTo("live");
        OptionSet options = parser.parse(arguments);
        if (options.has(help)) {
            parser.printHelpOn(output);
            return 0;
        }
        StoreAccess access = new StoreAccess(URI.create(options.valueOf(store)));
        for (String host : options.valuesOf(hosts)) {
            ObjectNode spec = Json.object();
            spec.put("name", host);
            spec.put("dataCentre", options.valueOf(dataCentre));
            spec.put("address", options.valueOf(address));
            spec.put("state", options.valueOf(state));
            ObjectKey key = new ObjectKey(ObjectKind.HOST, ObjectKey.PLATFORM_NAMESPACE, host);
            access.write(key, access.read(key), spec.toString());
            output.println(host + " is " + options.valueOf(state));
        }
        return 0;
    }
}
