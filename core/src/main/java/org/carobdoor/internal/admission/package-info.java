/**
 * Decides before acceptance whether a request is served, from outstanding tokens and the capacity
 * measured so far. There is no queue: engines hold waiting requests and order them by class.
 */
@NullMarked
package org.carobdoor.internal.admission;

import org.jspecify.annotations.NullMarked;
