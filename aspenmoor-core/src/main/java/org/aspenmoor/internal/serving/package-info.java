/**
 * Decisions about requests that an entry sends to backend servers itself: which route, which server, whether an attempt
 * may be retried, and when to refuse a request. Nothing here does input or output; time and randomness are passed in.
 * Unless stated otherwise, times such as {@code now} are in nanoseconds of the monotonic clock.
 */
package org.aspenmoor.internal.serving;
