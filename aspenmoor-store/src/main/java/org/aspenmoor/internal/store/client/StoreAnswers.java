package org.aspenmoor.internal.store.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.aspenmoor.internal.store.StoreConflictException;
import org.aspenmoor.internal.store.StoreException;
import org.aspenmoor.internal.store.StoreMalformedException;
import org.aspenmoor.internal.store.StoreOutcomeUnknownException;
import org.aspenmoor.internal.store.StoreUnavailableException;

/** Decides what an answer of the store means for the caller. */
final class StoreAnswers {
    private static final int OK = 200;
    private static final int FIRST_ERROR = 300;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String NOTHING_DONE = "ServiceUnavailable";

    private StoreAnswers() {}

    /** Returns what an answer to a read says; empty where the object is not there. */
    static Optional<StoreReply> toRead(StoreAnswer answer, String place) throws StoreException {
        if (succeeded(answer)) {
            return Optional.of(new StoreReply(answer.body(), answer.generation()));
        }
        if (answer.status() == NOT_FOUND) {
            return Optional.empty();
        }
        if (answer.status() == TOO_MANY_REQUESTS || answer.status() >= FIRST_SERVER_ERROR) {
            throw unavailable(answer, place);
        }
        throw refused(answer, place);
    }

    /** Returns what an answer to a write that took effect says. */
    static StoreReply toWrite(StoreAnswer answer, String place) throws StoreException {
        if (succeeded(answer)) {
            return new StoreReply(answer.body(), answer.generation());
        }
        if (answer.status() == CONFLICT || answer.status() == NOT_FOUND || answer.status() == GONE) {
            throw new StoreConflictException(
                    "The object has changed since it was read.", place, "Read it again and decide anew.");
        }
        if (answer.status() == TOO_MANY_REQUESTS || saysNothingWasDone(answer)) {
            throw unavailable(answer, place);
        }
        if (answer.status() >= FIRST_SERVER_ERROR) {
            throw new StoreOutcomeUnknownException(
                    "The store failed with status " + answer.status() + " while it wrote.",
                    place,
                    "Read the object before doing anything else; the write may have taken effect.");
        }
        throw refused(answer, place);
    }

    /** Throws what an answer other than a running stream means for a watch. */
    static StoreException toWatch(StoreAnswer answer, String place) {
        if (answer.status() == GONE) {
            return new StoreUnavailableException(
                    "The store no longer has the changes since that version.",
                    place,
                    "List the objects again and watch from the list's version.");
        }
        if (answer.status() == TOO_MANY_REQUESTS || answer.status() >= FIRST_SERVER_ERROR) {
            return unavailable(answer, place);
        }
        return refused(answer, place);
    }

    private static boolean succeeded(StoreAnswer answer) {
        return answer.status() >= OK && answer.status() < FIRST_ERROR;
    }

    // A 503 that a balancer gives may follow a write that took effect. Only the API's own status object says that
    // nothing was done; any other server error leaves the outcome of a write unknown.
    private static boolean saysNothingWasDone(StoreAnswer answer) {
        if (answer.status() != SERVICE_UNAVAILABLE) {
            return false;
        }
        try {
            JsonNode status = ObjectCodec.tree("status", answer.body());
            return status.path("kind").asText().equals("Status")
                    && status.path("reason").asText().equals(NOTHING_DONE);
        } catch (StoreMalformedException otherBody) {
            return false;
        }
    }

    private static StoreUnavailableException unavailable(StoreAnswer answer, String place) {
        String wait = answer.retryAfter().isZero()
                ? "Try again later."
                : "Try again after " + answer.retryAfter().toMillis() + " ms.";
        return new StoreUnavailableException(
                "The store answered with status " + answer.status() + " and did nothing.", place, wait);
    }

    private static StoreMalformedException refused(StoreAnswer answer, String place) {
        return new StoreMalformedException(
                "The store refused the call with status " + answer.status() + ".",
                place,
                "Check the store's address and the object's size and name.");
    }
}
