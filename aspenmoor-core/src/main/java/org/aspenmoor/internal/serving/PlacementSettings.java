package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * What placements go by.
 *
 * @param dataCentre where this entry stands
 * @param speed how fast an engine works
 * @param ownPromptShare part of the prefill rate at which an engine for answers computes a prompt itself
 * @param secondsPerMegapair what attention adds for each million pairs of a computed token and one before it
 */
public record PlacementSettings(
        String dataCentre, EngineSpeed engineSpeed, double decodePrefillFraction, double attentionSecondsPerMegapair) {}
