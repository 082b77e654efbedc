package org.aspenmoor.internal.serving;

import org.aspenmoor.internal.routing.EngineSpeed;

/**
 * Settings of the placement.
 *
 * @param dataCentre the data centre of this entry
 * @param engineSpeed the nominal speed of an engine
 * @param decodePrefillFraction fraction of the prefill rate at which a decode engine computes a prompt itself
 * @param attentionSecondsPerMegapair additional attention time per million pairs of a computed token and an earlier one
 */
public record PlacementSettings(
        String dataCentre, EngineSpeed engineSpeed, double decodePrefillFraction, double attentionSecondsPerMegapair) {}
