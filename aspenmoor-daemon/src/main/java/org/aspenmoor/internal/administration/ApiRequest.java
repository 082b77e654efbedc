package org.aspenmoor.internal.administration;

import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * One call of the administration API.
 *
 * @param operator who calls
 * @param pathTokens the named parts of the path
 * @param query the query's parameters
 * @param ifMatch the {@code If-Match} header
 * @param body the body's text
 */
record ApiRequest(
        Operator operator,
        Map<String, String> pathTokens,
        Map<String, String> query,
        Optional<String> ifMatch,
        String body) {
    private static final String SURROUNDING_QUOTES = "^\"|\"$";

    /** Returns a named part of the path. */
    String pathToken(String name) {
        return pathTokens.get(name);
    }

    /** Returns the service that the path names, if the operator's scope covers it. */
    ServiceName service() throws RequestRefusedException {
        ServiceName name = new ServiceName(pathToken("team"), pathToken("service"));
        if (!operator.scope().covers(name)) {
            throw RequestRefusedException.outOfScope(name.toString());
        }
        return name;
    }

    /** Returns the revision in the path. */
    long revision() throws RequestRefusedException {
        return parseNumber("revision", pathToken("revision"));
    }

    /** Returns the revision that the operator read. */
    long expectedRevision() throws RequestRefusedException {
        if (ifMatch.isEmpty()) {
            throw RequestRefusedException.expectedRevisionMissing();
        }
        return parseNumber("If-Match", ifMatch.get().replaceAll(SURROUNDING_QUOTES, ""));
    }

    /** Returns a number of the query within bounds. */
    int queryNumber(String name, int defaultValue, int max) throws RequestRefusedException {
        String text = query.get(name);
        if (text == null) {
            return defaultValue;
        }
        return (int) Math.clamp(parseNumber(name, text), 1, max);
    }

    /** Says whether a filter of the query lets a value pass. */
    boolean matchesFilter(String name, String value) {
        String filter = query.get(name);
        return filter == null || filter.equals(value);
    }

    private static long parseNumber(String name, String text) throws RequestRefusedException {
        try {
            long number = Long.parseLong(text);
            if (number >= 0) {
                return number;
            }
        } catch (NumberFormatException reportedBelow) {
            // The same refusal as for a negative number follows.
        }
        throw RequestRefusedException.malformed(name, "\"" + text + "\" is no whole number from 0 on.");
    }
}
