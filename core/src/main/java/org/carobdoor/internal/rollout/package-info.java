/** Decides which version of a service's software gets requests while the operator replaces it. */
@NullMarked
package org.carobdoor.internal.rollout;

import org.jspecify.annotations.NullMarked;
