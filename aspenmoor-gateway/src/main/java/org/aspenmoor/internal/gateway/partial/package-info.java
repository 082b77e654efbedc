/** Bounds the memory of messages that have been received in part. */
package org.aspenmoor.internal.gateway.partial;
