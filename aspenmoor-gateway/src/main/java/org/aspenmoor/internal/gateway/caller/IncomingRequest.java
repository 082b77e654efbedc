package org.aspenmoor.internal.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/**
 * One whole request of a caller.
 *
 * @param head its head
 * @param body its body; whoever takes the request releases it
 * @param arrivedAt when its head had arrived, on the monotonic clock
 */
public record IncomingRequest(HttpRequest head, ByteBuf body, long arrivedAt) {}
