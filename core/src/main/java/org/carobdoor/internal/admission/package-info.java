/**
 * Decides before acceptance whether a request is served, from outstanding tokens and measured
 * capacity. There is no queue: engines hold waiting requests and order them by priority class.
 */
@NullMarked
package org.carobdoor.internal.admission;

import org.jspecify.annotations.NullMarked;
