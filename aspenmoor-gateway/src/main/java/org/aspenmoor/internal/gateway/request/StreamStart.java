package org.aspenmoor.internal.gateway.request;

import java.util.List;
import java.util.stream.Stream;
import org.aspenmoor.internal.gateway.protocol.CallerHeaders;
import org.aspenmoor.internal.gateway.protocol.Resumption;
import org.aspenmoor.internal.serving.RetryRule;
import org.aspenmoor.internal.serving.Route;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.StreamOriginTracker;

/** Records which software version began the stream of one request, in case its caller takes it up again. */
final class StreamStart {
    private final StreamOriginTracker origins;
    private final RoutedRequest request;

    StreamStart(StreamOriginTracker origins, RoutedRequest request) {
        this.origins = origins;
        this.request = request;
    }

    /** Records the first event of the answer; to be called before it is sent to the caller. */
    void firstEventReceived(SoftwareVersion version) {
        Route route = request.route();
        if (route.retryRule() != RetryRule.RESUMABLE) {
            return;
        }
        origins.streamBegan(keys(), new StreamOrigin(request.service(), version), route.services());
    }

    /** Returns the keys of the stream; a caller that takes it up for the second time still names the first request. */
    private List<StreamKey> keys() {
        CallerHeaders caller = request.caller();
        String organisation = request.authorisation().organisationName();
        Stream<String> named = caller.resumption().flatMap(Resumption::firstRequestId).stream();
        return Stream.concat(Stream.of(caller.requestId()), named)
                .filter(id -> !id.isEmpty())
                .map(id -> StreamKey.of(organisation, id))
                .toList();
    }
}
