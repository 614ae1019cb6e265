package org.carobdoor.internal.rollout;

/**
 * The requests that a version which turns out to be bad may get from the order to its deadline.
 *
 * @param exposureShare the fraction of the service's requests that it may get
 * @param exposureSlack the requests that it may get beyond this fraction
 */
public record RolloutBounds(double exposureShare, long exposureSlack) {}
