package org.aspenmoor.internal.cli;

import joptsimple.OptionParser;

/** Option names and the declaration of options that several commands share. */
final class Options {
    static final String ENTRY = "entry";
    static final String TOKEN = "token";
    static final String TOKEN_FILE = "token-file";
    static final String JSON = "json";
    static final String HELP = "help";
    static final String VERSION = "version";
    static final String YES = "yes";
    static final String WAIT = "wait";
    static final String TIMEOUT = "timeout";
    static final String BASE = "base";
    static final String REVISION = "revision";
    static final String LIMIT = "limit";
    static final String SET = "set";
    static final String OUTPUT = "output";
    static final String WATCH = "watch";
    static final String INTERVAL = "interval";
    static final String IN_FORCE = "in-force";
    static final String TEAM = "team";
    static final String SERVICE = "service";
    static final String DATA_CENTRE = "data-centre";
    static final String ENGINE = "engine";
    static final long DEFAULT_TIMEOUT_SECONDS = 30;

    private Options() {}

    static OptionParser commonParser() {
        OptionParser parser = new OptionParser();
        parser.accepts(
                        ENTRY,
                        "entry address, such as http://10.0.0.1:8080, or a comma-separated list, all polled when waiting; default: ASPENMOOR_ENTRY")
                .withRequiredArg();
        parser.accepts(TOKEN, "operator token; default: ASPENMOOR_TOKEN").withRequiredArg();
        parser.accepts(TOKEN_FILE, "file that contains the operator token; default: ASPENMOOR_TOKEN_FILE")
                .withRequiredArg();
        parser.accepts(JSON, "print JSON for scripts");
        parser.accepts(HELP, "show this help");
        parser.accepts(VERSION, "show the version");
        return parser;
    }

    static void declareChangeOptions(OptionParser parser) {
        parser.accepts(YES, "skip the confirmation prompt");
        parser.accepts(WAIT, "wait until the change is in force in every process");
        declareTimeoutOption(parser);
    }

    static void declareTimeoutOption(OptionParser parser) {
        parser.accepts(TIMEOUT, "maximum seconds to wait")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(DEFAULT_TIMEOUT_SECONDS);
    }

    static void declareFilterOptions(OptionParser parser) {
        parser.accepts(TEAM, "only this team").withRequiredArg();
        parser.accepts(SERVICE, "only this service").withRequiredArg();
        parser.accepts(DATA_CENTRE, "only this data centre").withRequiredArg();
    }

    static void declareEngineFilterOption(OptionParser parser) {
        parser.accepts(ENGINE, "only this backend server").withRequiredArg();
    }
}
