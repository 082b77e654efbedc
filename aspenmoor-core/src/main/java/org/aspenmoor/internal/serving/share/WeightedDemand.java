package org.aspenmoor.internal.serving.share;

/**
 * What is demanded of a service by the requests of one organisation and priority, or by several organisations that are
 * not listed one by one.
 *
 * @param requester the organisation and priority
 * @param workPerSecond the demand
 * @param weight its part relative to that of one organisation; above one for several organisations
 */
record WeightedDemand(OrganisationClass requester, double workPerSecond, double weight) {
    WeightedDemand plus(WeightedDemand other) {
        double combinedWeight = requester.isRest() ? weight + other.weight : weight;
        return new WeightedDemand(requester, workPerSecond + other.workPerSecond, combinedWeight);
    }
}
