/**
 * Claims of calls that may not be repeated: finds the owner of a claim log, runs the logs that this
 * node owns, and stores recent answers for callers that repeat a call.
 */
@NullMarked
package org.carobdoor.node.claims;

import org.jspecify.annotations.NullMarked;
