package org.aspenmoor.internal.gateway.peers;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.aspenmoor.internal.serving.SoftwareVersion;
import org.aspenmoor.internal.serving.origin.KnownStream;
import org.aspenmoor.internal.serving.origin.OriginKnowledge;
import org.aspenmoor.internal.serving.origin.OriginQuestion;
import org.aspenmoor.internal.serving.origin.OriginReply;
import org.aspenmoor.internal.serving.origin.StreamKey;
import org.aspenmoor.internal.serving.origin.StreamOrigin;
import org.aspenmoor.internal.serving.origin.VersionSighting;
import org.aspenmoor.internal.wire.v1.PeerLoad;

/** Converts what entries tell and ask each other about streams and software versions to datagrams and back. */
final class OriginCodec {
    private OriginCodec() {}

    /**
     * Serialises streams of which an entry is told.
     *
     * @param record whether that entry is to write them to the store
     */
    static byte[] serialiseStreams(List<KnownStream> streams, boolean record) {
        PeerLoad.Builder message = PeerLoad.newBuilder().setRecordStreams(record);
        streams.forEach(known -> message.addStreams(serialise(known)));
        return message.build().toByteArray();
    }

    static byte[] serialiseQuestion(String entry, OriginQuestion question) {
        return PeerLoad.newBuilder()
                .setQuestion(PeerLoad.Question.newBuilder()
                        .setEntry(entry)
                        .setNumber(question.number())
                        .setKey(ByteString.copyFrom(question.stream().bytes()))
                        .setService(question.service()))
                .build()
                .toByteArray();
    }

    /** Returns the reply to a question; the key of the stream is that of the question. */
    static byte[] serialiseReply(OriginReply reply, StreamKey stream) {
        PeerLoad.Reply.Builder message = PeerLoad.Reply.newBuilder()
                .setEntry(reply.entry())
                .setNumber(reply.number())
                .setInformed(reply.informed());
        switch (reply.origin()) {
            case OriginKnowledge.Unknown unknown -> {}
            case OriginKnowledge.Known known -> message.setStream(serialise(new KnownStream(stream, known.origin())));
            case OriginKnowledge.Contradictory contradictory -> message.setContradictory(true);
        }
        reply.versions().forEach(sighting -> message.addVersions(serialise(sighting)));
        return PeerLoad.newBuilder().setReply(message).build().toByteArray();
    }

    static PeerLoad.Version serialise(VersionSighting sighting) {
        return PeerLoad.Version.newBuilder()
                .setService(sighting.service())
                .setVersion(sighting.version().name())
                .setAgeMilliseconds((int) sighting.age().toMillis())
                .build();
    }

    private static PeerLoad.Stream serialise(KnownStream known) {
        return PeerLoad.Stream.newBuilder()
                .setKey(ByteString.copyFrom(known.stream().bytes()))
                .setService(known.origin().service())
                .setVersion(known.origin().version().name())
                .build();
    }

    static List<VersionSighting> parseVersions(List<PeerLoad.Version> versions) {
        return versions.stream()
                .map(version -> new VersionSighting(
                        version.getService(),
                        new SoftwareVersion(version.getVersion()),
                        Duration.ofMillis(Integer.toUnsignedLong(version.getAgeMilliseconds()))))
                .toList();
    }

    /** Parses the streams that a message tells of; empty if it tells of none. */
    static List<KnownStream> parseStreams(PeerLoad message) {
        return message.getStreamsList().stream()
                .flatMap(stream -> parse(stream).stream())
                .toList();
    }

    /** Parses the question of a message; empty if it contains none. */
    static Optional<OriginQuestion> parseQuestion(PeerLoad message) {
        if (!message.hasQuestion()) {
            return Optional.empty();
        }
        PeerLoad.Question question = message.getQuestion();
        return StreamKey.parse(question.getKey().toByteArray())
                .map(key -> new OriginQuestion(question.getNumber(), key, question.getService()));
    }

    /** Parses the reply of a message; empty if it contains none. */
    static Optional<OriginReply> parseReply(PeerLoad message) {
        if (!message.hasReply()) {
            return Optional.empty();
        }
        PeerLoad.Reply reply = message.getReply();
        return Optional.of(new OriginReply(
                reply.getEntry(),
                reply.getNumber(),
                parseKnowledge(reply),
                parseVersions(reply.getVersionsList()),
                reply.getInformed()));
    }

    private static OriginKnowledge parseKnowledge(PeerLoad.Reply reply) {
        if (reply.getContradictory()) {
            return new OriginKnowledge.Contradictory();
        }
        Optional<KnownStream> known = reply.hasStream() ? parse(reply.getStream()) : Optional.empty();
        return known.<OriginKnowledge>map(stream -> new OriginKnowledge.Known(stream.origin()))
                .orElse(new OriginKnowledge.Unknown());
    }

    private static Optional<KnownStream> parse(PeerLoad.Stream stream) {
        return StreamKey.parse(stream.getKey().toByteArray())
                .map(key -> new KnownStream(
                        key, new StreamOrigin(stream.getService(), new SoftwareVersion(stream.getVersion()))));
    }
}
