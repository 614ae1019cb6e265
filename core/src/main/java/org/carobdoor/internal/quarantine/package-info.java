/**
 * Finds the request features that crash endpoints, and refuses requests with them on all nodes.
 *
 * <p>{@link org.carobdoor.internal.quarantine.EndpointCrashDetector} decides whether an endpoint
 * has crashed, {@link org.carobdoor.internal.quarantine.CrashQuarantine} which features are
 * quarantined.
 */
@NullMarked
package org.carobdoor.internal.quarantine;

import org.jspecify.annotations.NullMarked;
