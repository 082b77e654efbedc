package org.aspenmoor.internal.wire;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.aspenmoor.internal.wire.v1.Frame;

/** The codec for frames on a link: a four-byte length, followed by a protobuf {@link Frame}. */
public final class FramePipeline {
    /** The version of the protocol; both ends must use the same version. */
    public static final int PROTOCOL_VERSION = 1;

    /** The maximum frame size in bytes; a larger frame closes the link before memory is allocated for it. */
    public static final int MAX_FRAME_BYTES = 4 * 1024 * 1024;

    private static final int LENGTH_BYTES = 4;

    private FramePipeline() {}

    /** Adds the handlers of the codec to a pipeline. */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new FlushConsolidationHandler());
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
        pipeline.addLast(new ProtobufDecoder(Frame.getDefaultInstance()));
        pipeline.addLast(new LengthFieldPrepender(LENGTH_BYTES));
        pipeline.addLast(new ProtobufEncoder());
    }
}
