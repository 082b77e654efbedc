package org.aspenmoor.internal.serving.origin;

import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * What wrote the first event of a stream.
 *
 * @param service the service
 * @param version the software version of the server
 */
public record StreamOrigin(String service, SoftwareVersion version) {}
