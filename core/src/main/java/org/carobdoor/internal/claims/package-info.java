/**
 * Claims of calls that may not be repeated: the codec of the claim logs, the state machine of a
 * log's owner, and the state machine of the node that claims.
 *
 * <p>A call runs at most once because its key is claimed by one token, and because a grant is given
 * only for a record that is known to be in the key-value service. The order of writes comes from
 * the version of a log's head alone; clocks decide only how long something is waited for and when
 * keys are forgotten.
 */
@NullMarked
package org.carobdoor.internal.claims;

import org.jspecify.annotations.NullMarked;
