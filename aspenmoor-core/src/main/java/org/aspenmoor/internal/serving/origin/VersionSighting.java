package org.aspenmoor.internal.serving.origin;

import java.time.Duration;
import org.aspenmoor.internal.serving.SoftwareVersion;

/**
 * A software version of a service, and when a server that runs it was known last.
 *
 * @param service the service
 * @param version the software version
 * @param age time since then
 */
public record VersionSighting(String service, SoftwareVersion version, Duration age) {}
