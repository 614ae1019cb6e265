package org.carobdoor.internal.rollout;

import java.time.Duration;

/**
 * The limits that the platform sets for a version that turns out to be bad.
 *
 * @param exposureShare the fraction of a service's requests that the version may get
 * @param exposureSlack the requests that it may get beyond this fraction
 * @param rollbackLimit the time after its 50th bad answer from which it may get no more requests
 */
public record RolloutBounds(double exposureShare, long exposureSlack, Duration rollbackLimit) {}
