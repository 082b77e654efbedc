package org.aspenmoor.internal.gateway.request;

/** How far the attempt of a request had come when its caller disconnected. */
enum AttemptProgress {
    /** No attempt was open: the request waited, or was between two attempts. */
    NONE_OPEN,
    /** The connection was being opened, or the operating system had not taken all bytes of the request. */
    UNWRITTEN,
    /** The operating system had taken all bytes of the request. */
    WRITTEN
}
