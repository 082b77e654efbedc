package org.aspenmoor.internal.administration;

import java.util.Map;
import java.util.Optional;
import org.aspenmoor.internal.document.ServiceName;

/**
 * A call of the administration API.
 *
 * @param operator the authenticated operator
 * @param pathTokens values of the path parameters by name
 * @param query query parameters by name
 * @param ifMatch value of the {@code If-Match} header
 * @param body body as text
 */
record ApiRequest(
        Operator operator,
        Map<String, String> pathTokens,
        Map<String, String> query,
        Optional<String> ifMatch,
        String body) {
    private static final String SURROUNDING_QUOTES = "^\"|\"$";

    /** Returns the value of a path parameter. */
    String pathToken(String name) {
        return pathTokens.get(name);
    }

    /** Returns the service named in the path; throws an exception if the operator's scope does not cover it. */
    ServiceName service() throws RequestRefusedException {
        ServiceName name = new ServiceName(pathToken("team"), pathToken("service"));
        if (!operator.scope().covers(name)) {
            throw RequestRefusedException.outOfScope(name.toString());
        }
        return name;
    }

    /** Returns the revision named in the path. */
    long revision() throws RequestRefusedException {
        return parseNumber("revision", pathToken("revision"));
    }

    /** Returns the revision from {@code If-Match}, which the operator read and expects to be the current one. */
    long expectedRevision() throws RequestRefusedException {
        if (ifMatch.isEmpty()) {
            throw RequestRefusedException.expectedRevisionMissing();
        }
        return parseNumber("If-Match", ifMatch.get().replaceAll(SURROUNDING_QUOTES, ""));
    }

    /** Returns a numeric query parameter, limited to the range from 1 to {@code max}. */
    int queryNumber(String name, int defaultValue, int max) throws RequestRefusedException {
        String text = query.get(name);
        if (text == null) {
            return defaultValue;
        }
        return (int) Math.clamp(parseNumber(name, text), 1, max);
    }

    /** Returns whether a value equals the query parameter {@code name}, or that parameter is absent. */
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
            // Refused below in the same way as a negative number.
        }
        throw RequestRefusedException.malformed(name, "\"" + text + "\" is not a non-negative integer.");
    }
}
